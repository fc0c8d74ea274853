/** A backend server that a request may be sent to. */
export type Candidate = {
	readonly id: string;
	/** Estimated number of requests at the server. */
	readonly load: number;
	readonly slots: number;
	/** Expected duration of work there as a multiple of the usual one; undefined unless the server reported it lately. */
	readonly slowness?: number;
	/** Whether its failure rate or latency is so high that it is used only if no other server can accept the request. */
	readonly isDeprioritized: boolean;
	/** Whether a connection is available and the server is warm, or this VM has cold allowance left for it. */
	readonly canAccept: boolean;
};

/** Why a server was chosen; written to the decision log line. */
export enum ChoiceReason {
	/** First in the object's rendezvous order. */
	home = 'home',
	/** Later in the order, because the servers before it were full or deprioritized. */
	next = 'next',
	leastLoaded = 'least-loaded',
	/** Least expected time, where servers report how slow their machines are. */
	fastest = 'fastest',
}

/** A chosen server. */
export type Choice<Server extends Candidate> = {readonly server: Server; readonly reason: ChoiceReason};

/**
Maximum queue at the first server of an object, as a fraction of its slots. Waiting for a slot there takes a fraction of a request's duration, while a server that has not handled the object takes several times that duration.
*/
const firstServerQueueFraction = 0.5;

/**
Chooses the server for a request with an affinity key. `ordered` holds the eligible servers in the rendezvous order of the key's object.

Handles more objects than a server can cache, where a server that recently handled an object is several times faster. A request goes to the first server of its object, even if it has to queue there briefly; then to the next one with a free slot. The order of an object is stable, so its second server is likely to be warm as well.
*/
export function chooseByAffinity<Server extends Candidate>(ordered: Iterable<Server>): Choice<Server> | undefined {
	let isFirst = true;
	let fallback: Choice<Server> | undefined;
	for (const server of ordered) {
		const limit = server.slots * (isFirst && !server.isDeprioritized ? 1 + firstServerQueueFraction : 1);
		if (server.canAccept && server.load < limit) {
			const choice = {server, reason: isFirst ? ChoiceReason.home : ChoiceReason.next};
			if (!server.isDeprioritized) {
				return choice;
			}

			fallback ??= choice;
		}

		isFirst = false;
	}

	return fallback;
}

/** Finds the least of a cost among the servers with a free slot that can accept a request; deprioritized servers count only if there is no other. The first of equal servers is taken. */
class CheapestServer<Server extends Candidate> {
	#preferred: Server | undefined;
	#deprioritized: Server | undefined;
	#preferredCost = Number.POSITIVE_INFINITY;
	#deprioritizedCost = Number.POSITIVE_INFINITY;

	/** Considers a server; it is evaluated only as far as it may be chosen. */
	consider(server: Server, cost: number): void {
		if (server.load >= server.slots || cost >= this.#preferredCost || !server.canAccept) {
			return;
		}

		if (!server.isDeprioritized) {
			this.#preferred = server;
			this.#preferredCost = cost;
		} else if (cost < this.#deprioritizedCost) {
			this.#deprioritized = server;
			this.#deprioritizedCost = cost;
		}
	}

	get found(): Server | undefined {
		return this.#preferred ?? this.#deprioritized;
	}
}

/** Chooses the server with the lowest load per slot, for a request without an affinity key. */
export function chooseLeastLoaded<Server extends Candidate>(servers: readonly Server[]): Choice<Server> | undefined {
	const cheapest = new CheapestServer<Server>();
	for (const server of servers) {
		cheapest.consider(server, server.load / server.slots);
	}

	return cheapest.found && {server: cheapest.found, reason: ChoiceReason.leastLoaded};
}

/** Expected slowness of a server that has not reported it lately: machines that are shared are 2.5 times as slow for 15 % of the time. Higher than that of a server that has just reported none, whose load is also known better. */
const unknownSlowness = 1.2;

/**
Chooses the server with the least expected time for a request without an affinity key, where servers report how slow their machines are.

Handles several VMs that learn of a server only from its answers to their own requests. The search starts at `start`, a fraction in [0, 1) that differs between VMs and requests, because VMs that all preferred the first of equal servers would send to the same one.
*/
export function chooseFastest<Server extends Candidate>(servers: readonly Server[], start: number): Choice<Server> | undefined {
	const first = Math.floor(start * servers.length);
	const cheapest = new CheapestServer<Server>();
	for (let step = 0; step < servers.length; step++) {
		const server = servers[(first + step) % servers.length];
		cheapest.consider(server, (server.slowness ?? unknownSlowness) * (1 + (server.load / server.slots)));
	}

	return cheapest.found && {server: cheapest.found, reason: ChoiceReason.fastest};
}
