import {type TimerService} from '@fescuewick/core';
import {type DomainLoad, type LoadEntry} from '@fescuewick/wire';

/** A sum from another source replaces the held sum if it counts more VMs, or otherwise after the source of the held sum has sent none for this long. */
const sourceTimeoutMs = 2500;
/** A replacing sum from another source may contain measurements that are older than those of the held sum by at most this. */
const ageToleranceMs = 1000;

type ReceivedSum = {readonly sum: DomainLoad; readonly receivedAtMs: number};

/** Holds one sum of load per failure domain, even if several processes consider themselves its aggregator. */
export class DomainLoads {
	readonly #held = new Map<string, ReceivedSum>();

	constructor(private readonly timers: TimerService) {}

	/** Stores a received sum; returns false if it does not replace the held one. */
	update(sum: DomainLoad): boolean {
		const held = this.#held.get(sum.failureDomain);
		if (held !== undefined && !this.#replaces(sum, held)) {
			return false;
		}

		this.#held.set(sum.failureDomain, {sum, receivedAtMs: this.timers.nowMs()});
		return true;
	}

	/** The sum of a failure domain with current ages. */
	sum(failureDomain: string): DomainLoad | undefined {
		const held = this.#held.get(failureDomain);
		return held === undefined ? undefined : {...held.sum, entries: this.#withCurrentAges(held)};
	}

	/** The loads of all failure domains with current ages. */
	entries(): LoadEntry[] {
		return [...this.#held.values()].flatMap(held => this.#withCurrentAges(held));
	}

	#replaces(sum: DomainLoad, held: ReceivedSum): boolean {
		if (sum.source === held.sum.source) {
			return sum.sequence > held.sum.sequence;
		}

		const hasPriority = sum.vms > held.sum.vms || this.timers.nowMs() - held.receivedAtMs > sourceTimeoutMs;
		return hasPriority && maxAgeMs(sum.entries) <= maxAgeMs(this.#withCurrentAges(held)) + ageToleranceMs;
	}

	#withCurrentAges({sum, receivedAtMs}: ReceivedSum): LoadEntry[] {
		const elapsedMs = this.timers.nowMs() - receivedAtMs;
		return sum.entries.map(entry => ({...entry, ageMs: entry.ageMs + elapsedMs}));
	}
}

function maxAgeMs(entries: readonly LoadEntry[]): number {
	return Math.max(0, ...entries.map(entry => entry.ageMs));
}
