import {type TimerService} from '@fescuewick/core';

/** The summary has 32 bits, which take 5 bytes in a heartbeat; 52 bits would take 9. */
const summaryModulus = 2 ** 32;
/** Hashes added within this time are offered first to a peer whose set differs. */
const recentWindowMs = 600_000;

/** Grow-only set of SHA-256 hashes of revoked keys. */
export class RevokedKeys {
	readonly #timers: TimerService;
	/** Time of addition by hash, in order of addition. */
	readonly #addedAtMs = new Map<string, number>();
	#summary = 0;

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	get size(): number {
		return this.#addedAtMs.size;
	}

	/** Summary for comparing sets: equal for equal sets; different sets have the same summary with a probability of 2^-32, until the next change of either set. */
	get summary(): number {
		return this.#summary;
	}

	has(hash: string): boolean {
		return this.#addedAtMs.has(hash);
	}

	/** Adds hashes and returns the new ones; ignores anything that is not a SHA-256 in lower-case hexadecimal. */
	add(hashes: Iterable<string>): string[] {
		const added: string[] = [];
		for (const hash of hashes) {
			if (typeof hash === 'string' && /^[\da-f]{64}$/.test(hash) && !this.#addedAtMs.has(hash)) {
				this.#addedAtMs.set(hash, this.#timers.nowMs());
				this.#summary = (this.#summary + Number.parseInt(hash.slice(0, 8), 16)) % summaryModulus;
				added.push(hash);
			}
		}

		return added;
	}

	all(): string[] {
		return [...this.#addedAtMs.keys()];
	}

	recent(): string[] {
		const sinceMs = this.#timers.nowMs() - recentWindowMs;
		return [...this.#addedAtMs].filter(([, atMs]) => atMs >= sinceMs).map(([hash]) => hash);
	}
}
