import {type Backend} from './backend.js';
import {type Candidate} from './choose-backend.js';

/** A server considered for a request. What most decisions do not need is evaluated when it is asked for. */
export class BackendCandidate implements Candidate {
	constructor(
		readonly backend: Backend,
		readonly load: number,
		private readonly nowMs: number,
		private readonly accepts: (backend: Backend, nowMs: number) => boolean,
	) {}

	get id(): string {
		return this.backend.id;
	}

	get slots(): number {
		return this.backend.slots;
	}

	get slowness(): number | undefined {
		return this.backend.slowness(this.nowMs);
	}

	get isDeprioritized(): boolean {
		return this.backend.isDeprioritized(this.nowMs);
	}

	get canAccept(): boolean {
		return this.accepts(this.backend, this.nowMs);
	}
}
