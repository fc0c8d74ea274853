import {RelayMode, type TcpRelay} from '@fescuewick/emulator';

/** Delay of a slow path, in milliseconds; within the time-outs of calls, so that answers come late rather than not at all. */
const slowMs = 300;

/** What can be wrong with the path to the store or to a server. */
export enum PathFault {
	/** New connections are closed, open ones are reset. */
	refusing = 'refusing',
	/** Nothing passes any more, and nobody says so. */
	silent = 'silent',
	/** Requests arrive, and their answers do not. */
	answersSilent = 'answers-silent',
	/** Open connections are reset; new ones work. */
	reset = 'reset',
	slow = 'slow',
}

/** Faults of one relay that may overlap; each lasts until all of its kind have ended. */
export class PathFaults {
	readonly #active: PathFault[] = [];

	constructor(private readonly relay: TcpRelay) {}

	begin(fault: PathFault): void {
		this.#active.push(fault);
		switch (fault) {
			case PathFault.refusing:
			case PathFault.reset: {
				this.relay.resetOpenConnections();

				break;
			}

			case PathFault.silent: {
				this.relay.silenceOpenConnections();

				break;
			}

			case PathFault.answersSilent: {
				this.relay.silenceAnswers();

				break;
			}
		// No default
		}

		this.#apply();
	}

	end(fault: PathFault): void {
		this.#active.splice(this.#active.indexOf(fault), 1);
		this.#apply();
	}

	#apply(): void {
		const has = (fault: PathFault) => this.#active.includes(fault);
		this.relay.setMode(has(PathFault.refusing) ? RelayMode.refusing : (has(PathFault.silent) ? RelayMode.dropping : RelayMode.open));
		this.relay.setDelay(has(PathFault.slow) ? slowMs : 0);
	}
}
