/** One start of a backend server; a server that starts again under its id knows nothing of what it said before. */
export type ServerStart = {
	readonly id: string;
	/** Wall-clock time of its start. */
	readonly startedAtMs: number;
};

/** Starts of servers whose statements are remembered; the oldest is forgotten first. */
const maxStarts = 4096;

type Statement = {isLeaving: boolean; pausedUntilMs: number};

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

			statement = {isLeaving: false, pausedUntilMs: Number.NEGATIVE_INFINITY};
			this.#byStart.set(key, statement);
		}

		return statement;
	}
}

function keyOf({id, startedAtMs}: ServerStart): string {
	return `${startedAtMs} ${id}`;
}
