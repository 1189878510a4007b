package directory

import (
	"fmt"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strings"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Maximum values of fields.
const (
	maxShare    = 1000000
	maxServers  = 100000
	maxSlots    = 4096
	maxTargetMs = 24 * clock.Hour
	// maxClassFloorPercent is the maximum FloorPercent of one class.
	maxClassFloorPercent = 20
)

// nameRule is the reason in the error for a name that does not match namePattern.
const nameRule = "must be 1 to 64 letters, digits, dots, hyphens or underscores"

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	keyIDPattern  = regexp.MustCompile(`^[A-Za-z0-9]{1,64}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	knownMethods  = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
)

// Validate checks the fields of the account, but not its references.
func (a Account) Validate() error {
	if err := checkName("account.name", a.Name); err != nil {
		return err
	}
	if a.Share < 1 || a.Share > maxShare {
		return &FieldError{"account.share", a.Share, fmt.Sprintf("must be from 1 to %d", maxShare)}
	}
	return checkNames("account.classes", a.Classes)
}

// Validate checks the fields of the class, but not its references.
func (c Class) Validate() error {
	if err := checkName("class.name", c.Name); err != nil {
		return err
	}
	if c.Tier < 0 || c.Tier >= Tiers {
		return &FieldError{"class.tier", c.Tier, fmt.Sprintf("must be from 0 to %d", Tiers-1)}
	}
	if err := checkTarget("class.firstTokenMs", c.FirstTokenMs); err != nil {
		return err
	}
	if err := checkTarget("class.tokenMs", c.TokenMs); err != nil {
		return err
	}
	if err := checkTarget("class.answerMs", c.AnswerMs); err != nil {
		return err
	}
	if c.FloorPercent < 0 || c.FloorPercent > maxClassFloorPercent {
		return &FieldError{"class.floorPercent", c.FloorPercent, fmt.Sprintf("must be from 0 to %d", maxClassFloorPercent)}
	}
	return checkNames("class.pools", c.Pools)
}

// Validate checks the fields of the pool.
func (p Pool) Validate() error {
	if err := checkName("pool.name", p.Name); err != nil {
		return err
	}
	if p.Kind != PoolModel && p.Kind != PoolService {
		return &FieldError{"pool.kind", p.Kind, `must be "model" or "service"`}
	}
	if p.Kind == PoolModel && (p.Model == "" || strings.ContainsAny(p.Model, " \t\r\n\"")) {
		return &FieldError{"pool.model", p.Model, `must be a model name without spaces or quotes for a pool of kind "model"`}
	}
	if p.Kind == PoolService && p.Model != "" {
		return &FieldError{"pool.model", p.Model, `must be empty for a pool of kind "service"`}
	}
	if p.Slots < 1 || p.Slots > maxSlots {
		return &FieldError{"pool.slots", p.Slots, fmt.Sprintf("must be from 1 to %d", maxSlots)}
	}
	if p.MinServers < 0 || p.MaxServers < p.MinServers || p.MaxServers > maxServers {
		return &FieldError{"pool.maxServers", p.MaxServers, fmt.Sprintf("must be from minServers to %d; minServers must be at least 0", maxServers)}
	}
	return nil
}

// Validate checks the fields of the route, but not its references.
func (r Route) Validate() error {
	clean := strings.TrimSuffix(r.PathPrefix, "/")
	if len(clean) < 2 || clean[0] != '/' || path.Clean(clean) != clean || strings.ContainsAny(clean, "?#% \t\r\n") {
		return &FieldError{"route.pathPrefix", r.PathPrefix, `must be a clean path such as "/booking"`}
	}
	if err := checkName("route.pool", r.Pool); err != nil {
		return err
	}
	for _, m := range r.ProtectedMethods {
		if !slices.Contains(knownMethods, m) {
			return &FieldError{"route.protectedMethods", m, "must be one of " + strings.Join(knownMethods, ", ")}
		}
	}
	switch {
	case r.Accounts == nil:
		return nil
	case len(r.Accounts) == 0:
		return &FieldError{"route.accounts", "[]", "must name a client account, or be left out to allow all"}
	}
	return checkNames("route.accounts", r.Accounts)
}

// Validate checks the fields of the key, but not its reference to the account.
func (k Key) Validate() error {
	if !keyIDPattern.MatchString(k.ID) {
		return &FieldError{"key.id", k.ID, "must be 1 to 64 letters or digits"}
	}
	if err := checkName("key.account", k.Account); err != nil {
		return err
	}
	if !digestPattern.MatchString(k.Digest) {
		return &FieldError{"key.digest", "(not shown)", "must be 64 lower-case hexadecimal digits"}
	}
	return nil
}

// checkTarget checks that a latency target is from 0 to maxTargetMs.
func checkTarget(field string, target clock.Millis) error {
	if target < 0 || target > maxTargetMs {
		return &FieldError{field, target, fmt.Sprintf("must be from 0 to %d; 0 means no target", maxTargetMs)}
	}
	return nil
}

// checkName checks that name matches namePattern.
func checkName(field, name string) error {
	if !namePattern.MatchString(name) {
		return &FieldError{field, name, nameRule}
	}
	return nil
}

// checkNames checks that names has at least one element, and that all are valid and
// distinct.
func checkNames(field string, names []string) error {
	if len(names) == 0 {
		return &FieldError{field, "", "must contain at least one name"}
	}
	for i, name := range names {
		if err := checkName(field, name); err != nil {
			return err
		}
		if slices.Contains(names[:i], name) {
			return &FieldError{field, name, "is given twice"}
		}
	}
	return nil
}
