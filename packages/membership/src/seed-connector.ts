import {type Cancel, type TimerService} from '@fescuewick/core';
import {type Link} from '@fescuewick/wire';
import {Backoff} from './backoff.js';
import {type Random} from './random.js';

type Seed = {
	readonly address: string;
	readonly backoff: Backoff;
	link: Link | undefined;
	cancelRetry: Cancel | undefined;
	isSelf: boolean;
};

export type SeedConnectorOptions = {
	readonly timers: TimerService;
	readonly random: Random;
	readonly connect: (address: string) => Link | undefined;
	/** Whether a member with this control address is known, in which case the mesh connects to it without the seed. */
	readonly isKnown: (address: string) => boolean;
};

/** Connects to the addresses of the settings until the member behind each is known. */
export class SeedConnector {
	readonly #options: SeedConnectorOptions;
	readonly #seeds: Seed[];

	constructor(addresses: readonly string[], options: SeedConnectorOptions) {
		this.#options = options;
		this.#seeds = addresses.map(address => ({
			address, backoff: new Backoff(options.random), link: undefined, cancelRetry: undefined, isSelf: false,
		}));
	}

	/** Connects to each seed that is not known and has no attempt running or scheduled. */
	ensure(): void {
		for (const seed of this.#seeds) {
			if (!seed.isSelf && seed.link === undefined && seed.cancelRetry === undefined && !this.#options.isKnown(seed.address)) {
				seed.link = this.#options.connect(seed.address);
			}
		}
	}

	/** The address that a link was opened to; empty if it was not opened to a seed. */
	addressOf(link: Link): string {
		return this.#find(link)?.address ?? '';
	}

	opened(link: Link): void {
		this.#find(link)?.backoff.reset();
	}

	closed(link: Link): void {
		const seed = this.#find(link);
		if (seed === undefined) {
			return;
		}

		seed.link = undefined;
		seed.cancelRetry = this.#options.timers.after(seed.backoff.next(), () => {
			seed.cancelRetry = undefined;
		});
	}

	/** Records that the address of a seed is that of this process, so that it is not tried again. */
	markAsSelf(link: Link): void {
		const seed = this.#find(link);
		if (seed !== undefined) {
			seed.isSelf = true;
		}
	}

	stop(): void {
		for (const seed of this.#seeds) {
			seed.cancelRetry?.();
			// An open link is closed by its peer connection, which sends a goodbye first.
			if (seed.link?.peer === undefined) {
				seed.link?.close();
			}
		}
	}

	#find(link: Link): Seed | undefined {
		return this.#seeds.find(seed => seed.link === link);
	}
}
