import {type Location, type TimerService} from '@fescuewick/core';
import {type LoadEntry} from '@fescuewick/wire';

/** Time constant of the exponential smoothing of a VM's load. */
export const loadSmoothingMs = 2000;
/** Maximum age of a report whose capacity is counted. The load of a live VM is counted up to `maxReportAgeMs`, because the VM may still receive that traffic. */
const maxFreshAgeMs = 5000;
/** Reports older than this are not counted, and a VM does not send them to the aggregator again. */
export const maxReportAgeMs = 30_000;
/** A failure domain counts as cold while at least this fraction of its capacity is cold. */
const coldFraction = 0.1;

type ReceivedEntry = {readonly entry: LoadEntry; readonly receivedAtMs: number};
type AgedReport = {readonly entry: LoadEntry; readonly ageMs: number; readonly isLive: boolean};

/** Load reports of the VMs of one failure domain, and their sums. */
export class VmLoads {
	/** Latest reports by service and VM. */
	readonly #reports = new Map<string, Map<string, ReceivedEntry>>();

	constructor(private readonly timers: TimerService, private readonly location: Pick<Location, 'failureDomain' | 'region'>) {}

	/** Stores a report. `isRaw` is true for the load of this VM, which is smoothed here; other VMs report loads that they have smoothed. */
	update(vm: string, entry: LoadEntry, isRaw: boolean): void {
		const vms = this.#reports.get(entry.service) ?? new Map<string, ReceivedEntry>();
		this.#reports.set(entry.service, vms);
		const nowMs = this.timers.nowMs();
		const held = vms.get(vm);
		const weight = held === undefined || !isRaw ? 1 : 1 - Math.exp(-(nowMs - held.receivedAtMs) / loadSmoothingMs);
		const previousLoadPerS = held?.entry.loadPerS ?? 0;
		vms.set(vm, {entry: {...entry, loadPerS: previousLoadPerS + (weight * (entry.loadPerS - previousLoadPerS))}, receivedAtMs: nowMs});
	}

	/** The reports of a VM that are not older than the maximum age, with current ages. */
	reportsOf(vm: string): LoadEntry[] {
		return [...this.#reports.values()]
			.map(vms => vms.get(vm))
			.filter(held => held !== undefined)
			.map(held => ({...held.entry, ageMs: this.#ageMs(held)}))
			.filter(entry => entry.ageMs <= maxReportAgeMs);
	}

	/** Whether each of the VMs has reported within `withinMs`. */
	hasReportsFromAll(vms: Iterable<string>, withinMs: number): boolean {
		const nowMs = this.timers.nowMs();
		const reported = new Set([...this.#reports.values()].flatMap(reports => [...reports].filter(([, held]) => nowMs - held.receivedAtMs <= withinMs).map(([vm]) => vm)));
		return [...vms].every(vm => reported.has(vm));
	}

	/** Number of VMs with a fresh report. */
	freshVmCount(): number {
		return new Set([...this.#reports.values()].flatMap(vms => [...vms].filter(([, held]) => this.#ageMs(held) <= maxFreshAgeMs).map(([vm]) => vm))).size;
	}

	/** The sums over the VMs, one per service; reports of VMs that are not in `liveVms` are counted for a shorter time. */
	sums(liveVms: ReadonlySet<string>): LoadEntry[] {
		return [...this.#reports].filter(([, vms]) => vms.size > 0).map(([service, vms]) => this.#sum(service, vms, liveVms));
	}

	#sum(service: string, vms: Map<string, ReceivedEntry>, liveVms: ReadonlySet<string>): LoadEntry {
		const all = [...vms].map(([vm, held]): AgedReport => ({entry: held.entry, ageMs: this.#ageMs(held), isLive: liveVms.has(vm)}));
		for (const [vm, held] of vms) {
			// The report of a VM that is not alive is kept while it could be counted again if the VM returns.
			if (!liveVms.has(vm) && this.#ageMs(held) > maxReportAgeMs) {
				vms.delete(vm);
			}
		}

		const reports = all.filter(report => report.ageMs <= (report.isLive ? maxReportAgeMs : maxFreshAgeMs));
		if (reports.length === 0) {
			return this.#lastKnown(service, all);
		}

		const fresh = reports.filter(report => report.ageMs <= maxFreshAgeMs);
		const loadPerS = total(reports, ({entry}) => entry.loadPerS);
		const capacityPerS = total(fresh, ({entry}) => entry.capacityPerS);
		const cold = fresh.filter(({entry}) => entry.cold);
		return {
			service,
			...this.location,
			loadPerS,
			capacityPerS,
			cold: cold.length > 0 && capacityPerS > 0 && total(cold, ({entry}) => entry.capacityPerS) >= coldFraction * capacityPerS,
			bytesPerRequest: loadPerS > 0 ? total(reports, ({entry}) => entry.bytesPerRequest * entry.loadPerS) / loadPerS : 0,
			ageMs: Math.max(...reports.filter(report => report.isLive).map(report => report.ageMs), 0),
		};
	}

	/** Sum for a service whose reports are all too old: without capacity, and with the age of the newest report. */
	#lastKnown(service: string, all: readonly AgedReport[]): LoadEntry {
		return {
			service,
			...this.location,
			loadPerS: total(all, ({entry}) => entry.loadPerS),
			capacityPerS: 0,
			cold: false,
			bytesPerRequest: Math.max(...all.map(({entry}) => entry.bytesPerRequest)),
			ageMs: Math.min(...all.map(({ageMs}) => ageMs)),
		};
	}

	#ageMs({entry, receivedAtMs}: ReceivedEntry): number {
		return entry.ageMs + this.timers.nowMs() - receivedAtMs;
	}
}

function total<Item>(items: readonly Item[], value: (item: Item) => number): number {
	let result = 0;
	for (const item of items) {
		result += value(item);
	}

	return result;
}
