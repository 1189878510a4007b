package directory

import "fmt"

// MaxFloorPercent is the maximum sum of FloorPercent over the classes that use
// one pool.
const MaxFloorPercent = 50

// checkReferences checks the references between accounts, classes, pools, routes and
// keys that ops may have broken. It is called after ops are applied.
func (d *Directory) checkReferences(ops []Op) error {
	var allAccounts, classesChanged bool
	for _, op := range ops {
		if op.RemoveAccount != "" || op.RemoveClass != "" {
			allAccounts = true
		}
		if op.SetClass != nil || op.SetPool != nil || op.RemovePool != "" || op.RemoveClass != "" {
			classesChanged = true
		}
	}
	if classesChanged {
		if err := d.checkClasses(); err != nil {
			return err
		}
	}
	if err := d.checkAccounts(ops, allAccounts); err != nil {
		return err
	}
	return d.checkRoutes()
}

// checkClasses checks that the pools of all classes exist, and that the sum of the
// floors in each pool is at most MaxFloorPercent.
func (d *Directory) checkClasses() error {
	floors := map[string]int{}
	for _, c := range d.classes.sorted() {
		for _, p := range c.Pools {
			if _, ok := d.pools.get(p); !ok {
				return &FieldError{"class/" + c.Name + ".pools", p, "names no pool"}
			}
			floors[p] += c.FloorPercent
			if floors[p] > MaxFloorPercent {
				return &FieldError{"class/" + c.Name + ".floorPercent", c.FloorPercent,
					fmt.Sprintf("raises the sum of the floors in pool %s to %d; the maximum is %d", p, floors[p], MaxFloorPercent)}
			}
		}
	}
	return nil
}

// checkAccounts checks that the accounts of issued keys exist, and that the classes of
// accounts exist: of the accounts that ops set or, if all is set, of every account.
func (d *Directory) checkAccounts(ops []Op, all bool) error {
	for _, op := range ops {
		if op.IssueKey != nil {
			if _, ok := d.accounts.get(op.IssueKey.Account); !ok {
				return &FieldError{"key/" + op.IssueKey.ID + ".account", op.IssueKey.Account, "names no client account"}
			}
		}
		if op.SetAccount != nil && !all {
			if err := d.checkAccount(op.SetAccount.Name); err != nil {
				return err
			}
		}
	}
	if !all {
		return nil
	}
	for _, a := range d.accounts.sorted() {
		if err := d.checkAccount(a.Name); err != nil {
			return err
		}
	}
	return nil
}

// checkAccount checks that the classes of an account exist.
func (d *Directory) checkAccount(name string) error {
	a, _ := d.accounts.get(name)
	for _, c := range a.Classes {
		if _, ok := d.classes.get(c); !ok {
			return &FieldError{"account/" + name + ".classes", c, "names no class"}
		}
	}
	return nil
}

// checkRoutes checks that each route's pool exists and is of kind PoolService, and that
// its accounts exist.
func (d *Directory) checkRoutes() error {
	for _, r := range d.routes {
		p, ok := d.pools.get(r.Pool)
		if !ok || p.Kind != PoolService {
			return &FieldError{"route/" + r.PathPrefix + ".pool", r.Pool, `names no pool of kind "service"`}
		}
		for _, a := range r.Accounts {
			if _, ok := d.accounts.get(a); !ok {
				return &FieldError{"route/" + r.PathPrefix + ".accounts", a, "names no client account"}
			}
		}
	}
	return nil
}
