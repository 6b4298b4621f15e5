package doc

import (
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dahliawinch/internal/task/job"

	"dahliawinch/internal/conf/valid"
)

// checker collects problems under field names.
type checker struct{ found []valid.Problem }

func (c *checker) need(ok bool, field, wrong, mend string) {
	if !ok {
		c.found = append(c.found, valid.Bad(field, wrong, mend))
	}
}

// Check returns every problem of the document, in the order of its fields.
func (d *Document) Check() []valid.Problem {
	c := &checker{}
	c.need(validName(d.Service), "service", fmt.Sprintf("%q is no name", d.Service), "use 1 to 40 letters, digits or dashes")
	d.checkClasses(c)
	d.checkTenants(c)
	d.checkLimits(c)
	c.need(d.Reserve >= 0 && d.Reserve <= 0.5, "reserve", fmt.Sprintf("%v is out of range", d.Reserve), "use a part from 0 to 0.5")
	c.need(d.Patience >= 0 && d.Patience.Std() <= 10*time.Second, "patience", d.Patience.Std().String(), "use 0s to 10s; 200ms is usual")
	for i, name := range d.Endpoints.Domains {
		c.need(validName(name), fmt.Sprintf("endpoints.domains[%d]", i), fmt.Sprintf("%q is no name", name), "use a failure domain's name")
	}
	return c.found
}

func (d *Document) checkClasses(c *checker) {
	c.need(len(d.Classes) > 0, "classes", "is empty", "declare at least one class")
	c.need(len(d.Classes) <= MostClasses, "classes", fmt.Sprintf("has %d", len(d.Classes)), fmt.Sprintf("declare at most %d", MostClasses))
	urgent := false
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		k, at := d.Classes[name], "classes."+name
		urgent = urgent || k.Band == job.Urgent
		c.need(validName(name), at, "is no name", "use 1 to 40 letters, digits or dashes")
		c.need(k.Deadline > 0, at+".deadline", k.Deadline.Std().String(), "use a positive duration such as 5s")
		c.need(k.Deadline <= d.Limits.Deadline || d.Limits.Deadline <= 0, at+".deadline",
			fmt.Sprintf("%s is over limits.deadline, %s", k.Deadline.Std(), d.Limits.Deadline.Std()), "lower it or raise the limit")
		c.need(k.Hold >= 0 && k.Hold.Std() <= time.Hour, at+".hold", k.Hold.Std().String(), "use 0s to 1h")
	}
	c.need(!urgent || d.Reserve > 0, "reserve", "is 0 though a class is urgent", "keep a part of the slots, such as 0.08, or urgent work waits behind routine work")
}

func (d *Document) checkTenants(c *checker) {
	c.need(len(d.Tenants) > 0, "tenants", "is empty", "declare at least one tenant")
	c.need(len(d.Tenants) <= MostTenants, "tenants", fmt.Sprintf("has %d", len(d.Tenants)), fmt.Sprintf("declare at most %d", MostTenants))
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Tenants)) {
		t, at := d.Tenants[name], "tenants."+name
		c.need(validName(name), at, "is no name", "use 1 to 40 letters, digits or dashes")
		c.need(t.Weight > 0 && t.Weight <= 1000, at+".weight", fmt.Sprint(t.Weight), "use more than 0, at most 1000")
		c.need(t.Rate >= 0 && !math.IsInf(t.Rate, 0), at+".rate", fmt.Sprint(t.Rate), "use 0 for no limit, or starts per second")
		c.need(t.Slots >= 0, at+".slots", fmt.Sprint(t.Slots), "use 0 for no limit, or a number of slots")
		c.need(len(t.Keys) > 0 && len(t.Keys) <= MostKeys, at+".keys", fmt.Sprintf("has %d", len(t.Keys)), fmt.Sprintf("give 1 to %d key hashes", MostKeys))
		for i, k := range t.Keys {
			field := fmt.Sprintf("%s.keys[%d]", at, i)
			raw, err := hex.DecodeString(k)
			c.need(err == nil && len(k) == keyHex && hex.EncodeToString(raw) == k, field, "is not a SHA-256 in lower-case hex", "make one with: dahliawinch keys hash")
			c.need(owner[k] == "" || owner[k] == name, field, "is also a key of "+owner[k], "give each tenant keys of its own")
			owner[k] = name
		}
	}
}

func (d *Document) checkLimits(c *checker) {
	l := d.Limits
	c.need(l.Tasks >= 1 && l.Tasks <= MostTasks, "limits.tasks", fmt.Sprint(l.Tasks), fmt.Sprintf("use 1 to %d", MostTasks))
	c.need(l.Bytes >= 1 && l.Bytes <= MostBytes, "limits.bytes", fmt.Sprint(l.Bytes), fmt.Sprintf("use 1 to %d", MostBytes))
	c.need(l.Deadline > 0 && l.Deadline.Std() <= 10*time.Minute, "limits.deadline", l.Deadline.Std().String(), "use more than 0s, at most 10m")
}

const longestName = 40

func validName(s string) bool {
	if s == "" || len(s) > longestName {
		return false
	}
	for _, r := range s {
		ok := r == '-' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !ok {
			return false
		}
	}
	return true
}
