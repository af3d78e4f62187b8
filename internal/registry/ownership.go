package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
)

// maxMapResponse exceeds any response with a record: a value of catalog.MaxValue bytes in base64, and the
// fields around it.
const maxMapResponse = catalog.MaxValueBytes*4/3 + 8<<10

// ErrNoMap reports that a server has no ownership map.
var ErrNoMap = errors.New("the server has no ownership map")

// FetchMap reads the newest ownership map from one address after another, starting at a random one, until one
// returns a map with at least the given number. Each address has 2.2 s and is asked once. The error lists the
// failure of each address: ErrNoMap, ErrStale for a smaller number, or an error of ownership.Decode.
func FetchMap(ctx context.Context, client *http.Client, addresses []string, minNumber int64) (*ownership.Map, error) {
	if len(addresses) == 0 {
		return nil, errors.New("ownership map: no server address")
	}
	var errs []error
	start := rand.IntN(len(addresses))
	for i := range addresses {
		addr := addresses[(start+i)%len(addresses)]
		m, err := fetchMap(ctx, client, addr)
		if err == nil && m.Number < minNumber {
			err = fmt.Errorf("%w: map number %d is below the known %d", ErrStale, m.Number, minNumber)
		}
		if err == nil {
			return m, nil
		}
		errs = append(errs, fmt.Errorf("ownership map: %s: %w", addr, err))
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Join(errs...)
}

func fetchMap(ctx context.Context, client *http.Client, addr string) (*ownership.Map, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/records/"+ownership.RecordName, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, ErrNoMap
	case resp.StatusCode != http.StatusOK:
		return nil, errors.New(resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxMapResponse+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxMapResponse {
		return nil, fmt.Errorf("the response exceeds %d bytes", maxMapResponse)
	}
	var record catalog.Record
	if err := json.Unmarshal(raw, &record); err != nil {
		return nil, err
	}
	if len(record.Value) == 0 { // the record was acquired by its first writer, who has not written a map yet
		return nil, ErrNoMap
	}
	return ownership.Decode(record.Value)
}
