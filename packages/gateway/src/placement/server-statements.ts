/** One start of a backend server; a server that starts again under its id knows nothing of what it said before. */
export type ServerStart = {
	readonly id: string;
	/** Wall-clock time of its start. */
	readonly startedAtMs: number;
};

/** Starts of servers whose statements are remembered; the oldest is forgotten first. */
const maxStarts = 4096;

/** A limit that no answer named for this time is forgotten, in milliseconds; a VM without a share gets no answers and learns from its peers. */
export const limitTtlMs = 30_000;

/** A limit that a server named, and when this VM learned of it, in the time of the timer service. */
export type ServerLimit = {
	/** Requests a second from all VMs together. */
	readonly perS: number;
	/** When this VM first learned that the server has a limit. */
	readonly sinceMs: number;
	/** When an answer to this VM or to a peer last named it. */
	readonly confirmedAtMs: number;
	/** What the VMs of the region were last told, by this VM or by a peer. */
	readonly announced: {readonly perS: number; readonly atMs: number};
};

type Statement = {isLeaving: boolean; pausedUntilMs: number; limit: ServerLimit | undefined};

/** What backend servers said about themselves, by their start; kept while their entries are missing from the store, since an entry that expired during an outage comes back. */
export class ServerStatements {
	readonly #byStart = new Map<string, Statement>();

	/** Records that a server is leaving; returns whether that is new. */
	addLeaving(start: ServerStart): boolean {
		const statement = this.#of(start);
		const isNew = !statement.isLeaving;
		statement.isLeaving = true;
		return isNew;
	}

	/** Records that a server asks for a pause; a pause that ends earlier than a known one is ignored. */
	addPause(start: ServerStart, untilMs: number): void {
		const statement = this.#of(start);
		statement.pausedUntilMs = Math.max(statement.pausedUntilMs, untilMs);
	}

	/** Records the limit that a server has, or that it has none any more. */
	setLimit(start: ServerStart, limit: ServerLimit | undefined): void {
		if (limit !== undefined || this.#byStart.has(keyOf(start))) {
			this.#of(start).limit = limit;
		}
	}

	limit(start: ServerStart): ServerLimit | undefined {
		return this.#byStart.get(keyOf(start))?.limit;
	}

	isLeaving(start: ServerStart): boolean {
		return this.#byStart.get(keyOf(start))?.isLeaving ?? false;
	}

	/** End of the pause that a server asked for, in the time of the timer service; minus infinity without one. */
	pausedUntilMs(start: ServerStart): number {
		return this.#byStart.get(keyOf(start))?.pausedUntilMs ?? Number.NEGATIVE_INFINITY;
	}

	#of(start: ServerStart): Statement {
		const key = keyOf(start);
		let statement = this.#byStart.get(key);
		if (statement === undefined) {
			if (this.#byStart.size >= maxStarts) {
				const [oldest] = this.#byStart.keys();
				this.#byStart.delete(oldest);
			}

			statement = {isLeaving: false, pausedUntilMs: Number.NEGATIVE_INFINITY, limit: undefined};
			this.#byStart.set(key, statement);
		}

		return statement;
	}
}

function keyOf({id, startedAtMs}: ServerStart): string {
	return `${startedAtMs} ${id}`;
}
