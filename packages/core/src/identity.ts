import {randomBytes} from 'node:crypto';
import {type TimerService} from './timer-service.js';

/** Where a process runs, from its settings. */
export type Location = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly region: string;
};

/** Identifies one run of a process on a VM; a restart has another incarnation. */
export type Incarnation = {
	readonly vm: string;
	readonly startedAtMs: number;
	readonly nonce: string;
};

/** Creates the incarnation of the current run, with a random nonce. */
export function createIncarnation(vm: string, timers: TimerService): Incarnation {
	return {vm, startedAtMs: timers.wallClockMs(), nonce: randomBytes(6).toString('hex')};
}

/** Text form of an incarnation, `vm.startedAt.nonce`; usable as a map key. */
export function incarnationId(incarnation: Incarnation): string {
	return `${incarnation.vm}.${incarnation.startedAtMs.toString(36)}.${incarnation.nonce}`;
}
