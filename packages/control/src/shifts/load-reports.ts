import {
	hash64, incarnationId, PauseDetector, type Cancel, type TimerService,
} from '@fescuewick/core';
import {type PeerNetwork} from '@fescuewick/membership';
import {
	MessageType, type DomainLoad, type DomainLoadsBody, type LoadEntry, type LoadReportBody,
} from '@fescuewick/wire';
import {DomainLoads} from './domain-loads.js';
import {DomainRelay} from './domain-relay.js';
import {VmLoads} from './vm-loads.js';

/** Interval at which an aggregator computes the sums and sends those that are due. */
export const aggregationIntervalMs = 500;
/** Minimum interval between reports of a VM, which are sent with those of its entry daemon; it allows for timers that fire slightly early. */
const minReportIntervalMs = 900;
/** A VM whose entry daemon is silent repeats its last report, with its age, at this interval, so that a new aggregator learns of its load. */
const repeatReportIntervalMs = 2000;
/** Interval at which sums without a significant change are sent. Added to the age of a report (1 s), the interval of the aggregator and the interval of snapshots (1 s), it keeps the age of a load at the look-up daemon below the 5 s for which the load counts as fresh. */
export const sumRefreshIntervalMs = 2000;
/** Maximum time for which a new aggregator waits for the reports of all live VMs. */
const maxReportWaitMs = 2000;
/** For this long after a pause of this process, received reports are ignored: they may have waited in socket buffers and appear newer than they are. */
const pauseGraceMs = 500;
const reportTimeoutMs = 800;
/** A sum is sent at once if its load or capacity has changed by more than this fraction of the capacity. */
const significantChangeFraction = 0.05;
const sourceBits = 32;

/** Reports this VM's load to the aggregator of its failure domain, computes the sums if this VM is the aggregator, and holds the sums of all failure domains. */
export class LoadReports {
	readonly #peers: PeerNetwork;
	readonly #timers: TimerService;
	/** Hash of the incarnation of this process, which identifies it as the source of its sums. */
	readonly #source: number;
	/** Reports of this VM and, on an aggregator, of the other VMs of its failure domain. */
	readonly #vmLoads: VmLoads;
	readonly #domainLoads: DomainLoads;
	readonly #relay: DomainRelay;
	/** Failure domains whose sums arrived from another failure domain and have not been relayed in this one yet. */
	readonly #domainsToRelay = new Set<string>();
	/** By failure domain, the number of aggregator candidates to skip because they did not answer. */
	readonly #skippedCandidates = new Map<string, number>();
	#pauseDetector: PauseDetector | undefined;
	#cancel: Cancel | undefined;
	#reportedAtMs = Number.NEGATIVE_INFINITY;
	/** Time since which this VM has been the aggregator without interruption. */
	#aggregatorSinceMs: number | undefined;
	#published: {readonly sum: DomainLoad; readonly atMs: number} | undefined;
	#sequence = 0;

	constructor(peers: PeerNetwork, timers: TimerService) {
		this.#peers = peers;
		this.#timers = timers;
		this.#source = Number(BigInt.asUintN(sourceBits, hash64(incarnationId(peers.incarnation))));
		const {failureDomain, region} = peers.self;
		this.#vmLoads = new VmLoads(timers, {failureDomain, region});
		this.#domainLoads = new DomainLoads(timers);
		this.#relay = new DomainRelay(peers, domains => domains.map(domain => this.#domainLoads.sum(domain)).filter(sum => sum !== undefined));
		peers.handle(MessageType.loadReport, async (body, from) => {
			this.#onLoadReport(body, from.vm);
			return {};
		});
		peers.handle(MessageType.domainLoads, async (body, from) => {
			this.#onDomainLoads(body, from.vm);
			return {};
		});
	}

	start(): void {
		if (this.#cancel !== undefined) {
			return;
		}

		this.#pauseDetector = new PauseDetector(this.#timers);
		this.#pauseDetector.onPause(() => {
			// Another aggregator may have replaced this one during the pause; the held sums show their age.
			this.#aggregatorSinceMs = undefined;
		});
		this.#cancel = this.#timers.repeat(aggregationIntervalMs, () => {
			this.#tick();
		});
	}

	stop(): void {
		this.#cancel?.();
		this.#cancel = undefined;
		this.#pauseDetector?.stop();
		this.#relay.stop();
	}

	/** Stores a report of this VM's entry daemon and sends it to the aggregator. */
	addLocalReport(entries: readonly LoadEntry[]): void {
		for (const entry of entries) {
			this.#vmLoads.update(this.#peers.self.vm, entry, true);
		}

		if (this.#cancel !== undefined && this.#timers.nowMs() - this.#reportedAtMs >= minReportIntervalMs) {
			void this.#sendReport();
		}
	}

	/** The load of a service in this failure domain; undefined if no sum is known yet. */
	loadOfOwnDomain(service: string): LoadEntry | undefined {
		return this.#domainLoads.sum(this.#peers.self.failureDomain)?.entries.find(entry => entry.service === service);
	}

	/** The loads of all failure domains with current ages, for snapshots. */
	entries(): LoadEntry[] {
		return this.#domainLoads.entries();
	}

	/** Whether this VM is the aggregator of its failure domain, in its own view. */
	get isAggregator(): boolean {
		const {vm, failureDomain} = this.#peers.self;
		return this.#relay.aggregator(failureDomain) === vm;
	}

	#tick(): void {
		this.#pauseDetector?.check();
		if (this.#timers.nowMs() - this.#reportedAtMs >= repeatReportIntervalMs) {
			void this.#sendReport();
		}

		const {isAggregator} = this;
		const {failureDomain} = this.#peers.self;
		this.#aggregatorSinceMs = isAggregator ? this.#aggregatorSinceMs ?? this.#timers.nowMs() : undefined;
		const domains = [...this.#domainsToRelay];
		this.#domainsToRelay.clear();
		if (isAggregator && this.#aggregate()) {
			domains.push(failureDomain);
			for (const other of this.#relay.otherDomains()) {
				void this.#sendToDomain(other, [failureDomain]);
			}
		}

		if (domains.length > 0) {
			void (isAggregator ? this.#relay.relayToChildren(domains, true) : this.#sendToDomain(failureDomain, domains));
		}
	}

	/** Sends this VM's load to the aggregator. */
	async #sendReport(): Promise<void> {
		const {vm, failureDomain} = this.#peers.self;
		const entries = this.#vmLoads.reportsOf(vm);
		const aggregator = this.#relay.aggregator(failureDomain);
		if (entries.length === 0 || aggregator === undefined) {
			return;
		}

		this.#reportedAtMs = this.#timers.nowMs();
		if (aggregator === vm) {
			return;
		}

		try {
			await this.#peers.request(aggregator, MessageType.loadReport, {entries}, reportTimeoutMs);
		} catch {
			// The next report follows within seconds, to the successor if the aggregator has failed.
		}
	}

	/** Computes the sums; returns false if nothing is due to be sent or if reports may still be missing. */
	#aggregate(): boolean {
		const nowMs = this.#timers.nowMs();
		const live = this.#relay.liveVms();
		if (nowMs - this.#aggregatorSinceMs! < maxReportWaitMs && !this.#vmLoads.hasReportsFromAll(live, maxReportWaitMs)) {
			return false;
		}

		const entries = this.#vmLoads.sums(new Set(live));
		const last = this.#published;
		const isDue = last === undefined || nowMs - last.atMs >= sumRefreshIntervalMs || hasSignificantChange(entries, last.sum.entries);
		if (entries.length === 0 || !isDue) {
			return false;
		}

		const {failureDomain, region} = this.#peers.self;
		const sum: DomainLoad = {
			failureDomain, region, source: this.#source, sequence: ++this.#sequence, vms: this.#vmLoads.freshVmCount(), entries,
		};
		if (!this.#domainLoads.update(sum)) {
			return false;
		}

		this.#published = {sum, atMs: nowMs};
		return true;
	}

	/** Sends sums to the aggregator of a failure domain, or to the next candidate if the aggregator does not answer. */
	async #sendToDomain(failureDomain: string, domains: readonly string[]): Promise<void> {
		for (let attempt = 0; attempt < 2; attempt++) {
			const skipped = this.#skippedCandidates.get(failureDomain) ?? 0;
			const vm = this.#relay.aggregator(failureDomain, skipped);
			if (vm === undefined || await this.#relay.send(vm, domains)) {
				return;
			}

			this.#skippedCandidates.set(failureDomain, skipped + 1);
		}
	}

	#onLoadReport({entries}: LoadReportBody, fromVm: string): void {
		const {failureDomain} = this.#peers.self;
		if (this.#isAfterPause() || this.#peers.member(fromVm)?.record.failureDomain !== failureDomain) {
			return;
		}

		for (const entry of entries) {
			this.#vmLoads.update(fromVm, entry, false);
		}
	}

	#onDomainLoads({sums}: DomainLoadsBody, fromVm: string): void {
		if (this.#isAfterPause()) {
			return;
		}

		const {failureDomain} = this.#peers.self;
		const isFromOwnDomain = this.#peers.member(fromVm)?.record.failureDomain === failureDomain;
		const accepted = sums.filter(sum => (isFromOwnDomain || sum.failureDomain !== failureDomain) && this.#domainLoads.update(sum));
		if (!isFromOwnDomain) {
			for (const sum of accepted) {
				this.#domainsToRelay.add(sum.failureDomain);
			}
		} else if (accepted.length > 0) {
			void this.#relay.relayToChildren(accepted.map(sum => sum.failureDomain), this.isAggregator);
		}
	}

	#isAfterPause(): boolean {
		this.#pauseDetector?.check();
		return this.#timers.nowMs() - (this.#pauseDetector?.lastPauseEndMs ?? Number.NEGATIVE_INFINITY) < pauseGraceMs;
	}
}

/** Whether the sum of any service has changed significantly, so that the sums are to be sent at once. */
function hasSignificantChange(entries: readonly LoadEntry[], before: readonly LoadEntry[]): boolean {
	const previous = new Map(before.map(entry => [entry.service, entry]));
	return entries.some(entry => {
		const last = previous.get(entry.service);
		return last === undefined || isSignificantChange(entry, last);
	});
}

function isSignificantChange(entry: LoadEntry, last: LoadEntry): boolean {
	const limitPerS = significantChangeFraction * Math.max(last.capacityPerS, entry.capacityPerS);
	return last.cold !== entry.cold || Math.abs(last.capacityPerS - entry.capacityPerS) > limitPerS || Math.abs(last.loadPerS - entry.loadPerS) > limitPerS;
}
