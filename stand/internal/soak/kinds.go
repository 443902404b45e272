package soak

import (
	"time"

	"currantport.example/platform/fakes"
)

// fault is a kind of fault. Its run injects one and returns when it has ended.
type fault struct {
	name string
	run  func(i *injector, duration time.Duration)
}

// faults are all kinds. A seed chooses by index, so a change of the order changes all runs.
var faults = append([]fault{
	{"entry-kill", func(i *injector, _ time.Duration) { i.kill(i.entry()) }},
	{"entry-pause", func(i *injector, duration time.Duration) { i.pause(i.entry(), duration) }},
	{"entry-stop", func(i *injector, _ time.Duration) { i.stop(i.entry()) }},
	{"entry-series", func(i *injector, _ time.Duration) { i.killSeries(i.entry()) }},
	{"entries-kill", func(i *injector, _ time.Duration) { i.killAll(i.world.entries) }},
	{"entries-roll", func(i *injector, _ time.Duration) { i.rollingStop() }},
	{"entry-cut", func(i *injector, duration time.Duration) { i.breakStoreLink(i.entry(), duration) }},
	{"agent-kill", func(i *injector, _ time.Duration) { i.kill(i.agent()) }},
	{"agent-pause", func(i *injector, duration time.Duration) { i.pause(i.agent(), duration) }},
	{"agents-kill", func(i *injector, _ time.Duration) { i.killAll(i.world.agentList()) }},
	{"agent-cut", func(i *injector, duration time.Duration) { i.breakStoreLink(i.agent(), duration) }},
	{"settings", func(i *injector, _ time.Duration) { i.changeSettings(i.entry()) }},
	{"store-down", func(i *injector, duration time.Duration) { i.breakStore(fakes.StoreDown, duration) }},
	{"store-hung", func(i *injector, duration time.Duration) { i.breakStore(fakes.StoreHung, duration) }},
	{"store-slow", func(i *injector, duration time.Duration) { i.breakStore(fakes.StoreSlow, duration) }},
	{"store-lossy", func(i *injector, duration time.Duration) { i.breakStore(fakes.StoreLossy, duration) }},
	{"store-forget", func(i *injector, _ time.Duration) { i.world.store.CompactHistory() }},
	{"origin-down", func(i *injector, duration time.Duration) { i.breakOrigin(fakes.OriginDown, duration) }},
	{"origin-rotten", func(i *injector, duration time.Duration) { i.breakOrigin(fakes.OriginCorrupt, duration) }},
	{"origin-short", func(i *injector, duration time.Duration) { i.breakOrigin(fakes.OriginTruncated, duration) }},
	{"upstream-crash", func(i *injector, duration time.Duration) { i.crash(i.upstream(), duration) }},
	{"upstream-gone", func(i *injector, duration time.Duration) { i.crash(i.upstream(), registrationTTL+duration) }},
	{"upstream-drain", func(i *injector, _ time.Duration) { i.drain(i.upstream()) }},
	{"upstream-slow", func(i *injector, duration time.Duration) { i.breakUpstream(fakes.UpstreamSlow, duration) }},
	{"upstream-grey", func(i *injector, duration time.Duration) { i.breakUpstream(fakes.UpstreamGrey, duration) }},
	{"upstream-lossy", func(i *injector, duration time.Duration) { i.breakUpstream(fakes.UpstreamLossy, duration) }},
	{"upstream-garbled", func(i *injector, duration time.Duration) { i.breakUpstream(fakes.UpstreamGarbled, duration) }},
	{"upstream-doubled", func(i *injector, duration time.Duration) { i.breakUpstream(fakes.UpstreamExtraResponse, duration) }},
	{"upstream-spoilt", func(i *injector, _ time.Duration) { i.corruptStaged(i.upstream()) }},
	{"link-delay", func(i *injector, duration time.Duration) { i.breakLink(linkDelay, duration) }},
	{"link-reset", func(i *injector, duration time.Duration) { i.breakLink(linkReset, duration) }},
	{"link-oneway", func(i *injector, duration time.Duration) { i.breakLink(linkOneway, duration) }},
	{"link-silence", func(i *injector, duration time.Duration) { i.breakLink(linkSilence, duration) }},
	{"link-dark", func(i *injector, duration time.Duration) { i.breakLink(linkDark, duration) }},
	{"config", func(i *injector, _ time.Duration) { i.publish(false) }},
	{"config-revoke", func(i *injector, _ time.Duration) { i.publish(true) }},
	{"config-series", func(i *injector, _ time.Duration) { i.publishSeries() }},
	{"release", func(i *injector, _ time.Duration) { i.release() }},
	{"release-series", func(i *injector, _ time.Duration) { i.release(); time.Sleep(seriesInterval); i.release() }},
	{"engine-add", func(i *injector, _ time.Duration) { i.addEngine() }},
	{"store-restore", func(i *injector, duration time.Duration) { i.restoreStore(duration) }},
	{"upstream-leave", func(i *injector, _ time.Duration) { i.leave(i.upstream()) }},
	{"upstream-held", func(i *injector, duration time.Duration) { i.breakUpstream(fakes.UpstreamHeld, duration) }},
	{"release-unseen", func(i *injector, _ time.Duration) { i.releaseUnseen(i.entry().settings.Place.Domain) }},
	{"upstream-unframed", func(i *injector, duration time.Duration) { i.breakUpstream(fakes.UpstreamUnframed, duration) }},
	{"upstream-torn", func(i *injector, duration time.Duration) { i.breakUpstream(fakes.UpstreamTorn, duration) }},
	{"upstream-endless", func(i *injector, duration time.Duration) { i.breakUpstream(fakes.UpstreamEndless, duration) }},
	{"upstream-limit", func(i *injector, _ time.Duration) { i.limit(i.upstream()) }},
	{"poison-part", func(i *injector, _ time.Duration) { i.poisonPart() }},
	{"orders-late", func(i *injector, duration time.Duration) { i.delayOrders(duration) }},
	{"upstream-stall", func(i *injector, _ time.Duration) { i.stall(i.upstream()) }},
	{"upstream-stalls", func(i *injector, _ time.Duration) { i.stallSeries() }},
	{"release-stall", func(i *injector, _ time.Duration) { i.releaseStalled() }},
}, append(placingFaults,
	fault{"upstreams-late", func(i *injector, duration time.Duration) { i.delayResponses(duration) }},
	fault{"settings-series", func(i *injector, _ time.Duration) { i.changeSettingsSeries() }},
	fault{stageSlow, func(i *injector, duration time.Duration) { i.slowStages(duration) }},
)...)
