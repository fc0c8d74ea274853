import {FescuewickError, ResultCode, type TimerService} from '@fescuewick/core';
import {type Link} from '@fescuewick/wire';
import {GoodbyeReason, PeerConnection} from './peer-connection.js';
import {type Random} from './random.js';

export type PeerLinksOptions = {
	readonly selfVm: string;
	readonly timers: TimerService;
	readonly random: Random;
	/** Opens a link to a member's current address; returns undefined if none is known. */
	readonly connect: (vm: string) => Link | undefined;
};

/** The connections to all peers, by name. */
export class PeerLinks {
	readonly #options: PeerLinksOptions;
	readonly #connections = new Map<string, PeerConnection>();

	constructor(options: PeerLinksOptions) {
		this.#options = options;
	}

	/** The link in use of each linked peer. */
	open(): Link[] {
		return [...this.#connections.values()].map(connection => connection.link).filter(link => link !== undefined);
	}

	get(vm: string): PeerConnection | undefined {
		return this.#connections.get(vm);
	}

	/** The connection to a peer, created if there is none. */
	getOrCreate(vm: string): PeerConnection {
		let connection = this.#connections.get(vm);
		if (connection === undefined) {
			const {selfVm, timers, random, connect} = this.#options;
			connection = new PeerConnection({
				vm, timers, random, closesDuplicates: selfVm < vm, connect: () => connect(vm),
			});
			this.#connections.set(vm, connection);
		}

		return connection;
	}

	/** Adds a link on which the hello of the peer has arrived; `replaced` is true if the other links belong to an older incarnation. */
	opened(vm: string, link: Link, {initiated, replaced}: {readonly initiated: boolean; readonly replaced: boolean}): void {
		for (const [other, connection] of this.#connections) {
			if (other !== vm && connection.owns(link)) {
				connection.lost(link, new FescuewickError(ResultCode.peerClosed, `address of ${other} is used by ${vm}`));
			}
		}

		const connection = this.getOrCreate(vm);
		const replacedLinks = replaced ? connection.detachLinks() : [];
		connection.opened(link, initiated);
		for (const old of replacedLinks) {
			old.close(new FescuewickError(ResultCode.peerClosed, `incarnation of ${vm} was replaced by a newer one`));
		}
	}

	/** Handles a link that closed or an attempt that failed. */
	closed(link: Link, reason: FescuewickError): void {
		for (const [vm, connection] of this.#connections) {
			if (connection.owns(link)) {
				connection.lost(link, reason);
				this.#dropUnused(vm, connection);
				return;
			}
		}
	}

	/** Sets the peers whose links are kept open. */
	setPersistent(persistentVms: ReadonlySet<string>): void {
		for (const vm of persistentVms) {
			this.getOrCreate(vm);
		}

		for (const [vm, connection] of this.#connections) {
			connection.isPersistent = persistentVms.has(vm);
			this.#dropUnused(vm, connection);
		}
	}

	/** Connects to the persistent peers that have no link and no scheduled attempt. */
	connectPersistent(): void {
		for (const connection of this.#connections.values()) {
			if (connection.isPersistent) {
				connection.connectIfNeeded();
			}
		}
	}

	/** Closes links opened on demand that have not been used for `idleLinkMs`, and yields the names of their peers. */
	* closeIdle(): Generator<string> {
		for (const [vm, connection] of this.#connections) {
			if (connection.closeIfIdle()) {
				yield vm;
			}
		}
	}

	stop(): void {
		for (const connection of this.#connections.values()) {
			connection.isPersistent = false;
			connection.closeAll(GoodbyeReason.shutdown);
		}
	}

	#dropUnused(vm: string, connection: PeerConnection): void {
		if (connection.isUnused) {
			connection.dispose();
			this.#connections.delete(vm);
		}
	}
}
