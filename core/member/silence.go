package member

import (
	"maps"
	"time"

	"currantport.example/core/hosts"
)

// isSilent reports whether the entry must no longer be used.
func (t *Table) isSilent(now time.Time, r record) bool {
	since := now.Sub(r.updatedAt)
	switch {
	case t.isSameRegion(r.member):
		return since >= regionSilenceTimeout+t.observerDelay
	case !t.isEntry:
		return since >= observerSilenceTimeout+time.Duration(len(t.others))*observerTimeoutPerEntry
	case since >= t.newsTimeout(len(t.others)):
		return true
	}
	if s := t.suspicions[r.member.Name]; s != nil && s.isConfirmed && s.incarnation == r.member.Incarnation {
		return true
	}
	// A message holds the latest record of some regions and a sample of all records, whichever brings
	// news of the region sooner.
	region := r.member.Place.Region
	competing := min(len(t.regionSizes)*maxRecords/maxRegionRecords, len(t.others)/max(t.regionSizes[region], 1))
	return now.Sub(t.regionNews[region]) >= t.newsTimeout(competing)
}

// newsTimeout returns how long there may be no news of something while a number of records competes for a place
// in a message.
func (t *Table) newsTimeout(competing int) time.Duration {
	return min(max(t.detection-detectionMargin, time.Duration(competing)*newsTime), recordTTL)
}

// countRegions counts the entries of each region, this one included, and forgets the regions without any.
func (t *Table) countRegions() {
	clear(t.regionSizes)
	t.regionSizes[t.self.Place.Region]++
	for _, r := range t.others {
		t.regionSizes[r.member.Place.Region]++
	}
	maps.DeleteFunc(t.regionNews, func(region hosts.Region, _ time.Time) bool { return t.regionSizes[region] == 0 })
}

// updateObserverDelay computes how much later an observer hears of an entry of its region than the
// entries themselves do: it queries one at a time, and a response holds some of the records.
func (t *Table) updateObserverDelay() {
	region := 0
	for _, r := range t.others {
		if t.isSameRegion(r.member) {
			region++
		}
	}
	if responses := (region - 1) / maxRecords; responses > 0 {
		t.observerDelay = time.Duration(responses*observerLossFactor*observerRounds) * GossipInterval
		return
	}
	t.observerDelay = 0
}
