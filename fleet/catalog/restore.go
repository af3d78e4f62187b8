package catalog

import (
	"fmt"
	"maps"
)

// restoredHolder is the holder of a record whose lease may stand in a history that this state does not know.
const restoredHolder = "unknown-before-restore"

// RestoreImage returns what a restore of a backup has to bring to this state: the backup's list and values, no number that
// was given before, and no lease that may be given out while another one stands. Who holds a record, by which token and for how long, is no matter of the backup
// where this state knows it. A record that this state has never had comes from a history that it has lost: one that nobody
// held in the backup may be held since, so it is given out only after the longest lease that the backup knows.
func (s *State) RestoreImage(backup Image) (Image, error) {
	merged := backup
	merged.Records = maps.Clone(backup.Records)
	if merged.Records == nil {
		merged.Records = map[string]Record{}
	}
	merged.LastToken = max(backup.LastToken, s.image.LastToken)
	merged.LastHeldNumber = max(backup.LastHeldNumber, s.image.LastHeldNumber)
	longest := longestLease(backup.Records)
	for name, record := range backup.Records {
		current, known := s.image.Records[name]
		switch {
		case known:
			record.Holder, record.Token, record.TTL = current.Holder, current.Token, current.TTL
		case record.Holder == "" && record.TTL > 0:
			merged.LastToken++
			record.Holder, record.Token, record.TTL = restoredHolder, merged.LastToken, longest
		}
		merged.Records[name] = record
	}
	for name, current := range s.image.Records {
		if _, inBackup := backup.Records[name]; !inBackup && current.Holder != "" {
			merged.Records[name] = current
		}
	}
	if len(merged.Records) > MaxRecords {
		return Image{}, fmt.Errorf("%w: with those that are held the service would have %d records, the limit is %d", ErrFull, len(merged.Records), MaxRecords)
	}
	return merged, nil
}

// longestLease returns the longest time of a lease among records, in ms.
func longestLease(records map[string]Record) (longest int64) {
	for _, record := range records {
		longest = max(longest, record.TTL)
	}
	return longest
}
