package commands

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os/user"
	"time"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/operator/strictjson"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	requestTimeout = 10 * time.Second
	retryEvery     = 500 * time.Millisecond
	changeIDBytes  = 8
)

// adminOptions are the flags of commands that speak to an entry.
type adminOptions struct {
	Admin adminURL `long:"admin" env:"DAMASKPORT_ADMIN" required:"true" value-name:"URL" description:"operators' address of an entry"`
}

// adminURL is the base URL of an operators' address.
type adminURL string

// UnmarshalFlag checks the URL.
func (a *adminURL) UnmarshalFlag(value string) error {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errors.Errorf("%q: must be a URL such as http://10.0.0.1:8081", value)
	}
	*a = adminURL(value)
	return nil
}

func (a adminOptions) client() *admin.Client {
	return admin.NewClient(string(a.Admin), &http.Client{Timeout: requestTimeout})
}

// changeOptions are the flags of commands that change the configuration.
type changeOptions struct {
	adminOptions
	Author string        `long:"author" value-name:"NAME" description:"who makes the change; default: the user's name"`
	Wait   time.Duration `long:"wait" default:"30s" description:"how long to wait for the outcome"`
}

// outcomeError reports a change that may have taken effect, or still may.
type outcomeError struct {
	changeID string
}

// Error names the change.
func (e *outcomeError) Error() string {
	return fmt.Sprintf("change %s: the outcome is not known; see config show before sending it again", e.changeID)
}

// submit sends the change until its outcome is known or the time is over. A
// repeat carries the same id and never takes effect twice.
func (c changeOptions) submit(o output, change directory.Change) (admin.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	change.ID = randomHex(changeIDBytes)
	change.Author = c.author()
	open, told := false, ""
	for {
		result, err := c.client().Change(ctx, change)
		if err == nil || !undecided(err) {
			return result, err
		}
		open = open || mayTakeEffect(err)
		if ctx.Err() == nil && err.Error() != told {
			told = err.Error()
			fmt.Fprintf(o.err, "change %s: %s; trying again\n", change.ID, told)
		}
		select {
		case <-time.After(retryEvery):
			continue
		case <-ctx.Done():
		}
		if open {
			return result, &outcomeError{change.ID}
		}
		return result, errors.Errorf("nothing was changed: %s", told)
	}
}

// undecided reports whether the change may be accepted when it is sent again.
func undecided(err error) bool {
	var answer *admin.Error
	return !errors.As(err, &answer) || answer.Result.Unknown || answer.Status == http.StatusServiceUnavailable
}

// mayTakeEffect reports whether the change may be accepted without being sent
// again.
func mayTakeEffect(err error) bool {
	var answer *admin.Error
	var dial *net.OpError
	if errors.As(err, &answer) {
		return answer.Result.Unknown
	}
	return !errors.As(err, &dial) || dial.Op != "dial"
}

func (c changeOptions) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// accepted tells an accepted change.
func (o output) accepted(result admin.Result) {
	fmt.Fprintf(o.err, "accepted at version %d, confirmed by %d other processes\n", result.Offset, result.Peers)
}

// problems prints every problem of a file and returns the error to end with.
func (o output) problems(file string, err error) error {
	var bad *strictjson.Errors
	if !errors.As(err, &bad) {
		return err
	}
	for _, p := range bad.Problems {
		fmt.Fprintln(o.err, p)
	}
	return errors.Errorf("%s: %d problems", file, len(bad.Problems))
}

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails; the program ends when there is no randomness
	return hex.EncodeToString(b)
}
