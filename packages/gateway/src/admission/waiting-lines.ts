import {WaitingLine, type Waiting} from './waiting-line.js';

/** A request in a waiting line. */
export type WaitingRequest = Waiting & {
	/** A slot may be free. */
	onRoom(): void;
};

/** A request that has no answer yet. */
export type ActiveRequest = WaitingRequest & {
	/** Ends the request when the process has to stop. */
	abandon(): void;
};

/** Requests that a waiting line tries to place when a slot becomes free. */
const triedAtOnce = 8;

/** The waiting lines by service. */
export class WaitingLines {
	readonly #lines = new Map<string, WaitingLine<ActiveRequest>>();

	of(service: string): WaitingLine<ActiveRequest> {
		let line = this.#lines.get(service);
		if (line === undefined) {
			line = new WaitingLine();
			this.#lines.set(service, line);
		}

		return line;
	}

	/** Gives the first waiting requests of a service another try. */
	roomFor(service: string): void {
		let tried = 0;
		for (const run of this.of(service).inOrder()) {
			if (tried++ >= triedAtOnce) {
				return;
			}

			run.onRoom();
		}
	}

	/** As `roomFor`, for all services. */
	room(): void {
		for (const service of this.#lines.keys()) {
			this.roomFor(service);
		}
	}
}
