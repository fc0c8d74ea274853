import {
	ChartRunner, FescuewickError, ResultCode, type Cancel, type TimerService,
} from '@fescuewick/core';
import {MessageType, type Link} from '@fescuewick/wire';
import {Backoff} from './backoff.js';
import {linkChart} from './charts.js';
import {type Random} from './random.js';

/** Reasons of a goodbye; only `shutdown` means that the process stops. */
export enum GoodbyeReason {
	shutdown = 'shutdown',
	idle = 'idle',
	duplicate = 'duplicate',
}

/** A link opened on demand is closed after this time without use. */
export const idleLinkMs = 30_000;
/** Time for requests on a duplicate link to finish before it is closed. */
const duplicateGraceMs = 500;

type Waiter = {readonly resolve: (link: Link) => void; readonly reject: (error: FescuewickError) => void};

export type PeerConnectionOptions = {
	readonly vm: string;
	readonly timers: TimerService;
	readonly random: Random;
	/** Opens a new link to the peer's current address; returns undefined if none is known. */
	readonly connect: () => Link | undefined;
	/** Whether this end closes the extra link when both ends opened one. */
	readonly closesDuplicates: boolean;
};

/** The links to one peer: the one in use, and duplicates until they are closed. */
export class PeerConnection {
	readonly chart = new ChartRunner(linkChart);
	readonly #options: PeerConnectionOptions;
	readonly #backoff: Backoff;
	readonly #waiters = new Set<Waiter>();
	#links: Link[] = [];
	#connectingLink: Link | undefined;
	#cancelRetry: Cancel | undefined;
	#lastUsedAtMs = Number.NEGATIVE_INFINITY;
	/** Whether the link is kept open and reopened when it closes. */
	isPersistent = false;
	/** Whether the link in use was opened from this end. */
	#initiated = false;

	constructor(options: PeerConnectionOptions) {
		this.#options = options;
		this.#backoff = new Backoff(options.random);
	}

	/** The link in use: the one opened last, because it worked most recently. */
	get link(): Link | undefined {
		return this.#links.at(-1);
	}

	get isUnused(): boolean {
		return this.#links.length === 0 && !this.isPersistent && this.#waiters.size === 0 && this.#connectingLink === undefined;
	}

	/** Whether the link is open to this peer or being opened. */
	owns(link: Link): boolean {
		return this.#connectingLink === link || this.has(link);
	}

	/** Removes and returns the open links without closing them; used when their incarnation was replaced. */
	detachLinks(): Link[] {
		return this.#links.splice(0);
	}

	has(link: Link): boolean {
		return this.#links.includes(link);
	}

	/** Records use of the link, from which `idleLinkMs` is counted. */
	touch(): void {
		this.#lastUsedAtMs = this.#options.timers.nowMs();
	}

	/** Connects unless a link is open or being opened, or a retry is scheduled. */
	connectIfNeeded(): void {
		if (this.#links.length === 0 && this.#connectingLink === undefined && this.#cancelRetry === undefined) {
			this.#connect();
		}
	}

	/** Resolves with an open link; opens one if there is none. Rejects when the attempt fails or after `timeoutMs`. */
	async open(timeoutMs: number): Promise<Link> {
		this.touch();
		if (this.link !== undefined) {
			return this.link;
		}

		return new Promise((resolve, reject) => {
			const cancel = this.#options.timers.after(timeoutMs, () => {
				this.#waiters.delete(waiter);
				reject(new FescuewickError(ResultCode.peerClosed, `no link to ${this.#options.vm} within ${timeoutMs} ms`));
			});
			const waiter: Waiter = {
				resolve(link) {
					cancel();
					resolve(link);
				},
				reject(error) {
					cancel();
					reject(error);
				},
			};
			this.#waiters.add(waiter);
			if (this.#connectingLink === undefined) {
				this.#cancelRetry?.();
				this.#cancelRetry = undefined;
				this.#connect();
			}
		});
	}

	/** Adds a link on which the hello of the peer has arrived. */
	opened(link: Link, initiated: boolean): void {
		if (this.#connectingLink === link) {
			this.#connectingLink = undefined;
		}

		this.#cancelRetry?.();
		this.#cancelRetry = undefined;
		this.#backoff.reset();
		const olderLinks = [...this.#links];
		this.#links.push(link);
		this.#initiated = initiated;
		this.touch();
		this.chart.send('opened');
		if (olderLinks.length > 0 && this.#options.closesDuplicates) {
			this.#options.timers.after(duplicateGraceMs, () => {
				for (const extra of olderLinks) {
					closeWithGoodbye(extra, GoodbyeReason.duplicate);
				}
			});
		}

		for (const waiter of this.#waiters) {
			waiter.resolve(link);
		}

		this.#waiters.clear();
	}

	/** Handles a link that closed or an attempt that failed; reconnects if the link is persistent. */
	lost(link: Link, reason: FescuewickError): void {
		const wasOpen = this.#links.includes(link);
		this.#links = this.#links.filter(other => other !== link);
		if (this.#connectingLink === link) {
			this.#connectingLink = undefined;
			for (const waiter of this.#waiters) {
				waiter.reject(reason);
			}

			this.#waiters.clear();
		}

		if (this.#links.length > 0 || this.#connectingLink !== undefined) {
			return;
		}

		if (!this.isPersistent) {
			this.chart.send('release');
			return;
		}

		this.chart.send('lost');
		// After the loss of an open link the next attempt follows within 50 ms, because the peer may still be reachable; after a failed attempt the backoff applies.
		const delayMs = wasOpen ? this.#options.random() * 50 : this.#backoff.nextDelayMs();
		this.#cancelRetry?.();
		this.#cancelRetry = this.#options.timers.after(delayMs, () => {
			this.#cancelRetry = undefined;
			if (this.isPersistent) {
				this.#connect();
			} else {
				this.chart.send('release');
			}
		});
	}

	/** Closes the link if it was opened from this end on demand and has not been used for `idleLinkMs`. */
	closeIfIdle(): boolean {
		const {link} = this;
		if (link === undefined || this.isPersistent || !this.#initiated || this.#options.timers.nowMs() - this.#lastUsedAtMs < idleLinkMs) {
			return false;
		}

		this.closeAll(GoodbyeReason.idle);
		return true;
	}

	closeAll(reason: GoodbyeReason): void {
		this.#cancelRetry?.();
		this.#cancelRetry = undefined;
		this.#connectingLink?.close();
		for (const link of this.#links) {
			closeWithGoodbye(link, reason);
		}
	}

	/** Releases the timer and the chart of an unused connection. */
	dispose(): void {
		this.#cancelRetry?.();
		this.#cancelRetry = undefined;
		this.chart.stop();
	}

	#connect(): void {
		const link = this.#options.connect();
		if (link === undefined) {
			return;
		}

		this.#connectingLink = link;
		this.chart.send('connect');
	}
}

/** Sends a goodbye and closes the link. */
export function closeWithGoodbye(link: Link, reason: GoodbyeReason): void {
	link.send(MessageType.goodbye, {reason});
	link.close();
}
