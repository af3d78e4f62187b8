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

// maxMapAnswer is more than the answer of a record: a value of catalog.MaxValue in base64, and what stands around it.
const maxMapAnswer = catalog.MaxValue*4/3 + 8<<10

// ErrNoMap says that a server has no map of partitions.
var ErrNoMap = errors.New("there is no map of partitions yet")

// FetchMap reads the newest map of partitions from one address after the other, beginning at any of them, until one has a
// number of at least so much. Each address has 2.2 s and is asked once; the error tells what came of each: ErrNoMap, ErrBehind
// for a smaller number, what ownership.Decode says of a map that can't be read.
func FetchMap(ctx context.Context, client *http.Client, addresses []string, least int64) (*ownership.Map, error) {
	if len(addresses) == 0 {
		return nil, errors.New("map of partitions: no address to ask")
	}
	var errs []error
	begin := rand.IntN(len(addresses))
	for i := range addresses {
		addr := addresses[(begin+i)%len(addresses)]
		m, err := fetchMap(ctx, client, addr)
		if err == nil && m.Number < least {
			err = fmt.Errorf("%w: map %d where %d is known", ErrBehind, m.Number, least)
		}
		if err == nil {
			return m, nil
		}
		errs = append(errs, fmt.Errorf("map of partitions: %s: %w", addr, err))
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Join(errs...)
}

func fetchMap(ctx context.Context, client *http.Client, addr string) (*ownership.Map, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxMapAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxMapAnswer {
		return nil, fmt.Errorf("more than %d bytes", maxMapAnswer)
	}
	var r catalog.Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, err
	}
	if len(r.Value) == 0 { // acquired by its first writer, who has not written it yet
		return nil, ErrNoMap
	}
	return ownership.Decode(r.Value)
}
