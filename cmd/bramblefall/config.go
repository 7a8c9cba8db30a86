package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"

	"bramblefall/internal/discovery"
	"bramblefall/internal/wire"
	"bramblefall/logic"
)

// config is the platform's configuration of one limiter.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Counter  string          `json:"counter"`
	Known    discovery.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`

	settings logic.Settings
	seed     uint64
}

// changedSettings names the settings that differ in next and that take effect only at a restart. These are all but the plans,
// the limiter's name, the addresses of discovery and counter, the seed and the list of known servers.
func (c config) changedSettings(next config) (names []string) {
	old, now := reflect.ValueOf(c.settings), reflect.ValueOf(next.settings)
	for k := range old.NumField() {
		if name := old.Type().Field(k).Name; name != "Plans" && !reflect.DeepEqual(old.Field(k).Interface(), now.Field(k).Interface()) {
			names = append(names, name)
		}
	}
	if c.Limits != next.Limits {
		names = append(names, "Limits")
	}
	if c.Listen != next.Listen {
		names = append(names, "Listen")
	}
	return names
}

// readConfig reads the platform's file. At the start, the environment variables for a limiter's name and addresses override the
// file. When the file is read again, its content is newer than the environment, which then only supplies what the file lacks.
func readConfig(path string, reread bool) (c config, err error) {
	if path == "" {
		return c, errors.New("no configuration file given: set RELAY_CONFIG or --config")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	for name, field := range map[string]*string{"RELAY_NAME": &c.Name, "RELAY_LISTEN": &c.Listen,
		"RELAY_DISCOVERY": &c.Discovery} {
		if v := os.Getenv(name); v != "" && !(reread && *field != "") {
			*field = v
		}
	}
	if c.Listen == "" {
		return c, fmt.Errorf("%s: listen is missing, want an address to listen on", path)
	}
	if c.Seed != "" {
		if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
			return c, fmt.Errorf("%s: seed: got %q, want a hex number of up to 64 bits", path, c.Seed)
		}
	}
	if len(c.Settings) == 0 {
		return c, fmt.Errorf("%s: settings are missing", path)
	}
	if c.settings, err = wire.SettingsFromJSON(c.Settings); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}
