import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {mersenne} from 'pure-rand/generator/mersenne';

/** Kinds of faults that are injected from outside. */
export enum FaultKind {
	vmKilled = 'vm-killed',
	vmStopped = 'vm-stopped',
	vmPaused = 'vm-paused',
	storeRefuses = 'store-refuses',
	storeSilent = 'store-silent',
	storeAnswersSilent = 'store-answers-silent',
	storeSlow = 'store-slow',
	storeDown = 'store-down',
	storeCompacted = 'store-compacted',
	/** The store is restored from a copy that is as old as the fault lasts. */
	storeRestored = 'store-restored',
	serverReset = 'server-reset',
	serverSilent = 'server-silent',
	serverSlow = 'server-slow',
	serverRefuses = 'server-refuses',
	serverReplaced = 'server-replaced',
	keyReplaced = 'key-replaced',
	domainEvacuated = 'domain-evacuated',
	workspaceGreedy = 'workspace-greedy',
}

export type PlannedFault = {
	readonly kind: FaultKind;
	/** Time from the start of the faults, in milliseconds. */
	readonly atMs: number;
	/** How long the fault lasts, in milliseconds; for a killed or stopped process, the time from its exit until it is started again. */
	readonly durationMs: number;
	/** Chooses the VM, server, failure domain or workspace, modulo their number. */
	readonly target: number;
};

/** Relative frequency of each kind. */
const weights: Readonly<Record<FaultKind, number>> = {
	[FaultKind.vmKilled]: 3,
	[FaultKind.vmStopped]: 4,
	[FaultKind.vmPaused]: 3,
	[FaultKind.storeRefuses]: 2,
	[FaultKind.storeSilent]: 2,
	[FaultKind.storeAnswersSilent]: 1,
	[FaultKind.storeSlow]: 1,
	[FaultKind.storeDown]: 1,
	[FaultKind.storeCompacted]: 1,
	[FaultKind.storeRestored]: 2,
	[FaultKind.serverReset]: 2,
	[FaultKind.serverSilent]: 2,
	[FaultKind.serverSlow]: 1,
	[FaultKind.serverRefuses]: 1,
	[FaultKind.serverReplaced]: 3,
	[FaultKind.keyReplaced]: 2,
	[FaultKind.domainEvacuated]: 1,
	[FaultKind.workspaceGreedy]: 2,
};

/** Mean pause between two series of faults, in milliseconds; short enough that series overlap. */
const meanPauseMs = 1500;
/** Longest fault, in milliseconds; longer than the times after which peers and the store consider a VM failed. */
const maxDurationMs = 6000;
const minDurationMs = 100;
/** Fraction of the draws that give a series of several faults on one target, and the maximum number of faults in a series. */
const seriesFraction = 0.3;
const maxSeriesLength = 4;

/** Draws the faults of a run; the same seed gives the same faults. */
export function drawSchedule(seed: number, lengthMs: number): PlannedFault[] {
	// The first draws of the library's other generators are near 1 for all small seeds.
	const generator = mersenne(seed);
	const fraction = () => uniformFloat64(generator);
	const kinds = Object.values(FaultKind).flatMap(kind => Array.from({length: weights[kind]}, () => kind));
	const faults: PlannedFault[] = [];
	for (let atMs = 0; ;) {
		atMs -= Math.log(1 - fraction()) * meanPauseMs;
		if (atMs >= lengthMs) {
			return faults.toSorted((one, other) => one.atMs - other.atMs);
		}

		const kind = kinds[uniformInt(generator, 0, kinds.length - 1)];
		const target = uniformInt(generator, 0, 1_000_000);
		const count = fraction() < seriesFraction ? uniformInt(generator, 2, maxSeriesLength) : 1;
		let startMs = atMs;
		for (let index = 0; index < count && startMs < lengthMs; index++) {
			// The logarithm of the duration is uniformly distributed, so that short faults are as likely as long ones.
			const durationMs = Math.round(minDurationMs * ((maxDurationMs / minDurationMs) ** fraction()));
			faults.push({
				kind, atMs: Math.round(startMs), durationMs, target,
			});
			startMs += durationMs + (fraction() * meanPauseMs);
		}
	}
}
