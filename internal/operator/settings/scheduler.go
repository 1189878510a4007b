package settings

import (
	"os"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/operator/strictjson"
)

// RoleScheduler is the role of the process beside a model engine that orders
// the starts of all gateways there.
const RoleScheduler Role = "scheduler"

// Scheduler is the settings file of a scheduler.
type Scheduler struct {
	Role Role `json:"role"`
	// Name is the instance's name, unique in the deployment.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone     string `json:"zone"`
	LogLevel string `json:"logLevel"`
	// ControlAddr is the address for gateways.
	ControlAddr string `json:"controlAddr"`
	MetricsAddr string `json:"metricsAddr"`
	// MemoryMb is the limit of the process.
	MemoryMb float64 `json:"memoryMb"`
}

// LoadScheduler reads, defaults and checks the settings file at path. The error
// is an *Errors unless the file cannot be read.
func LoadScheduler(path string) (Scheduler, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scheduler{}, errors.Wrap(err, "read settings")
	}
	return ParseScheduler(path, data)
}

// ParseScheduler decodes, defaults and checks settings; name stands for the
// file in messages. The error is an *Errors with every problem found.
func ParseScheduler(name string, data []byte) (Scheduler, error) {
	doc, err := strictjson.Parse(name, data)
	if err != nil {
		return Scheduler{}, err
	}
	s := Scheduler{Role: RoleScheduler, LogLevel: defaultLogLevel, MemoryMb: defaultMemoryMb}
	doc.Decode(&s)
	c := checker{doc: doc}
	oneOf(c, "role", s.Role, RoleScheduler)
	c.filled("name", s.Name)
	c.filled("zone", s.Zone)
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		doc.Reject("logLevel", s.LogLevel, logLevels)
	}
	c.addr("controlAddr", s.ControlAddr)
	c.addr("metricsAddr", s.MetricsAddr)
	c.differ("metricsAddr", s.MetricsAddr, s.ControlAddr)
	c.positive("memoryMb", s.MemoryMb)
	if err := doc.Err(); err != nil {
		return Scheduler{}, err
	}
	return s, nil
}
