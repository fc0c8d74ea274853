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
	/** Whether a member with this control address is known; the mesh then connects to it as a member, not as a seed. */
	readonly isKnown: (address: string) => boolean;
};

/** Connects to the seed addresses of the settings, each until the member at that address is known. */
export class SeedConnector {
	readonly #options: SeedConnectorOptions;
	readonly #seeds: Seed[];

	constructor(addresses: readonly string[], options: SeedConnectorOptions) {
		this.#options = options;
		this.#seeds = addresses.map(address => ({
			address, backoff: new Backoff(options.random), link: undefined, cancelRetry: undefined, isSelf: false,
		}));
	}

	/** Connects to each seed whose member is not known and that has no link and no scheduled attempt. */
	connectUnknown(): void {
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
		seed.cancelRetry = this.#options.timers.after(seed.backoff.nextDelayMs(), () => {
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
