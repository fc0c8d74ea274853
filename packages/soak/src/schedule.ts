import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {mersenne} from 'pure-rand/generator/mersenne';

/** What is done to the system from outside. */
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
	serverReset = 'server-reset',
	serverSilent = 'server-silent',
	serverSlow = 'server-slow',
	serverRefuses = 'server-refuses',
	serverReplaced = 'server-replaced',
	keyReplaced = 'key-replaced',
	domainEvacuated = 'domain-evacuated',
	workspaceGreedy = 'workspace-greedy',
}

/** A fault of a run. */
export type PlannedFault = {
	readonly kind: FaultKind;
	/** Time from the start of the faults, in milliseconds. */
	readonly atMs: number;
	/** How long it lasts, in milliseconds; for a process, the time until it is started again. */
	readonly durationMs: number;
	/** Chooses the VM, server, failure domain or workspace, modulo their number. */
	readonly target: number;
};

/** How often each kind is drawn against the others. */
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
	[FaultKind.serverReset]: 2,
	[FaultKind.serverSilent]: 2,
	[FaultKind.serverSlow]: 1,
	[FaultKind.serverRefuses]: 1,
	[FaultKind.serverReplaced]: 3,
	[FaultKind.keyReplaced]: 2,
	[FaultKind.domainEvacuated]: 1,
	[FaultKind.workspaceGreedy]: 2,
};

/** Mean pause between two series of faults, in milliseconds; shorter than most faults last, so that they overlap. */
const meanPauseMs = 1500;
/** Longest fault, in milliseconds; longer than the times in which peers and the store give a VM up. */
const maxDurationMs = 6000;
const minDurationMs = 100;
/** Part of the faults that come as a series on one target, and the most of them in one. */
const seriesPart = 0.3;
const maxInSeries = 4;

/** Draws the faults of a run; the same seed gives the same faults. */
export function drawSchedule(seed: number, lengthMs: number): PlannedFault[] {
	// The first draws of other generators are near 1 for all small seeds.
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
		const count = fraction() < seriesPart ? uniformInt(generator, 2, maxInSeries) : 1;
		let startMs = atMs;
		for (let turn = 0; turn < count && startMs < lengthMs; turn++) {
			// The logarithm of the duration is even, so that short faults are as likely as long ones.
			const durationMs = Math.round(minDurationMs * ((maxDurationMs / minDurationMs) ** fraction()));
			faults.push({
				kind, atMs: Math.round(startMs), durationMs, target,
			});
			startMs += durationMs + (fraction() * meanPauseMs);
		}
	}
}
