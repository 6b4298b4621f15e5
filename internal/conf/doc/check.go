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

// checker collects problems by field name.
type checker struct{ problems []valid.Problem }

func (c *checker) require(ok bool, field, wrong, fix string) {
	if !ok {
		c.problems = append(c.problems, valid.NewProblem(field, wrong, fix))
	}
}

// Check returns all problems of the document, in the order of its checks.
func (d *Document) Check() []valid.Problem {
	c := &checker{}
	c.require(validName(d.Service), "service", fmt.Sprintf("%q is no name", d.Service), "use 1 to 40 letters, digits or dashes")
	d.checkClasses(c)
	d.checkTenants(c)
	d.checkLimits(c)
	c.require(d.Reserve >= 0 && d.Reserve <= 0.5, "reserve", fmt.Sprintf("%v is out of range", d.Reserve), "use a part from 0 to 0.5")
	c.require(d.Patience >= 0 && d.Patience.Std() <= 10*time.Second, "patience", d.Patience.Std().String(), "use 0s to 10s; 200ms is usual")
	for i, name := range d.Endpoints.Domains {
		c.require(validName(name), fmt.Sprintf("endpoints.domains[%d]", i), fmt.Sprintf("%q is no name", name), "use a failure domain's name")
	}
	return c.problems
}

func (d *Document) checkClasses(c *checker) {
	c.require(len(d.Classes) > 0, "classes", "is empty", "declare at least one class")
	c.require(len(d.Classes) <= MaxClasses, "classes", fmt.Sprintf("has %d", len(d.Classes)), fmt.Sprintf("declare at most %d", MaxClasses))
	urgent := false
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		class, path := d.Classes[name], "classes."+name
		urgent = urgent || class.Band == job.Urgent
		c.require(validName(name), path, "is no name", "use 1 to 40 letters, digits or dashes")
		c.require(class.Deadline > 0, path+".deadline", class.Deadline.Std().String(), "use a positive duration such as 5s")
		c.require(class.Deadline <= d.Limits.Deadline || d.Limits.Deadline <= 0, path+".deadline",
			fmt.Sprintf("%s is over limits.deadline, %s", class.Deadline.Std(), d.Limits.Deadline.Std()), "lower it or raise the limit")
		c.require(class.Hold >= 0 && class.Hold.Std() <= time.Hour, path+".hold", class.Hold.Std().String(), "use 0s to 1h")
	}
	c.require(!urgent || d.Reserve > 0, "reserve", "is 0 though a class is urgent", "keep a part of the slots, such as 0.08, or urgent work waits behind routine work")
}

func (d *Document) checkTenants(c *checker) {
	c.require(len(d.Tenants) > 0, "tenants", "is empty", "declare at least one tenant")
	c.require(len(d.Tenants) <= MaxTenants, "tenants", fmt.Sprintf("has %d", len(d.Tenants)), fmt.Sprintf("declare at most %d", MaxTenants))
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Tenants)) {
		t, path := d.Tenants[name], "tenants."+name
		c.require(validName(name), path, "is no name", "use 1 to 40 letters, digits or dashes")
		c.require(t.Weight > 0 && t.Weight <= 1000, path+".weight", fmt.Sprint(t.Weight), "use more than 0, at most 1000")
		c.require(t.Rate >= 0 && !math.IsInf(t.Rate, 0), path+".rate", fmt.Sprint(t.Rate), "use 0 for no limit, or starts per second")
		c.require(t.Slots >= 0, path+".slots", fmt.Sprint(t.Slots), "use 0 for no limit, or a number of slots")
		c.require(len(t.Keys) > 0 && len(t.Keys) <= MaxKeys, path+".keys", fmt.Sprintf("has %d", len(t.Keys)), fmt.Sprintf("give 1 to %d key hashes", MaxKeys))
		for i, k := range t.Keys {
			field := fmt.Sprintf("%s.keys[%d]", path, i)
			raw, err := hex.DecodeString(k)
			c.require(err == nil && len(k) == keyHexLen && hex.EncodeToString(raw) == k, field, "is not a SHA-256 in lower-case hex", "make one with: dahliawinch keys hash")
			c.require(owner[k] == "" || owner[k] == name, field, "is also a key of "+owner[k], "give each tenant keys of its own")
			owner[k] = name
		}
	}
}

func (d *Document) checkLimits(c *checker) {
	l := d.Limits
	c.require(l.Tasks >= 1 && l.Tasks <= MaxTasks, "limits.tasks", fmt.Sprint(l.Tasks), fmt.Sprintf("use 1 to %d", MaxTasks))
	c.require(l.Bytes >= 1 && l.Bytes <= MaxBytes, "limits.bytes", fmt.Sprint(l.Bytes), fmt.Sprintf("use 1 to %d", MaxBytes))
	c.require(l.Deadline > 0 && l.Deadline.Std() <= 10*time.Minute, "limits.deadline", l.Deadline.Std().String(), "use more than 0s, at most 10m")
}

const maxNameLen = 40

func validName(s string) bool {
	if s == "" || len(s) > maxNameLen {
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
