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

// config is what the platform tells a limiter.
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

// unlike names what another reading of the file says otherwise and what holds until a restart: all but the plans, the
// addresses that are followed, the seed and the list that was known.
func (c config) unlike(next config) (names []string) {
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

// readConfig reads the platform's file. At the start, what the environment says of this limiter's place goes first.
// Where the file is read again it is the file that has the news, and the environment only fills in.
func readConfig(path string, again bool) (c config, err error) {
	if path == "" {
		return c, errors.New("no configuration: set RELAY_CONFIG or -config")
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
		if v := os.Getenv(name); v != "" && !(again && *field != "") {
			*field = v
		}
	}
	if c.Listen == "" {
		return c, fmt.Errorf("%s: no address to listen on", path)
	}
	if c.Seed != "" {
		if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
			return c, fmt.Errorf("%s: seed %q is not a hex number", path, c.Seed)
		}
	}
	if len(c.Settings) == 0 {
		return c, fmt.Errorf("%s: no settings", path)
	}
	if c.settings, err = wire.SettingsFromJSON(c.Settings); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}
