/** A backend server that a request may be sent to. */
export type Candidate = {
	readonly id: string;
	/** Estimated number of requests at the server. */
	readonly load: number;
	readonly slots: number;
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

/** Chooses the server with the lowest load per slot, for a request without an affinity key. */
export function chooseLeastLoaded<Server extends Candidate>(servers: readonly Server[]): Choice<Server> | undefined {
	const free = servers.filter(server => server.canAccept && server.load < server.slots);
	const preferred = free.filter(server => !server.isDeprioritized);
	let leastLoaded: Server | undefined;
	for (const server of preferred.length > 0 ? preferred : free) {
		if (leastLoaded === undefined || server.load / server.slots < leastLoaded.load / leastLoaded.slots) {
			leastLoaded = server;
		}
	}

	return leastLoaded && {server: leastLoaded, reason: ChoiceReason.leastLoaded};
}
