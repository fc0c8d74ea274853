import {RelayMode, type TcpRelay} from '@fescuewick/emulator';

/** Delay of a slow path, in milliseconds; shorter than the timeouts of calls, so that answers arrive late and are not lost. */
const slowMs = 300;

/** Fault of the path to the store or to a server. */
export enum PathFault {
	/** New connections are closed, open ones are reset. */
	refusing = 'refusing',
	/** All bytes are dropped without closing connections; those that were open during the fault stay silent after it. */
	silent = 'silent',
	/** On connections that are open when the fault begins, requests arrive but their answers are dropped; new connections work. */
	answersSilent = 'answers-silent',
	/** Open connections are reset; new ones work. */
	reset = 'reset',
	slow = 'slow',
}

/** Faults of one relay, which may overlap; a kind of fault ends with the last active fault of that kind. */
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
