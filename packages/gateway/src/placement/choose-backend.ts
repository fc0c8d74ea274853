/** A backend server that a request may be sent to. */
export type Candidate = {
	readonly id: string;
	/** Requests believed to be at the server. */
	readonly load: number;
	readonly slots: number;
	/** Fails or delays many requests. */
	readonly isAvoided: boolean;
	/** Whether it takes another request now: it is warm, or this VM has allowance left for it. */
	readonly hasAllowance: boolean;
};

/** Why a server was chosen, for the decision line. */
export enum ChoiceReason {
	/** First in the order of the object. */
	home = 'home',
	/** Later in the order, because servers before it were full or avoided. */
	next = 'next',
	leastLoaded = 'least-loaded',
}

/** A chosen server. */
export type Choice<Server extends Candidate> = {readonly server: Server; readonly reason: ChoiceReason};

/**
Requests that may wait at the first server of an object, as a part of its slots. A slot becomes free within a fraction of a request's duration, while another server that has not handled the object takes several times as long.
*/
const homeQueuePart = 0.5;

/**
Chooses the server for a request with an object among those that may run it, which come in the order of the object.

Load it answers: more objects than a server remembers, and a server that has recently handled an object is several times faster. So a request goes to the first server in the order of its object, also if it has to wait there for a little; then to the next one with a free slot. Objects keep their order, so that a second choice is warm as well.
*/
export function firstInOrder<Server extends Candidate>(ordered: Iterable<Server>): Choice<Server> | undefined {
	let isHome = true;
	let avoided: Choice<Server> | undefined;
	for (const server of ordered) {
		const limit = server.slots * (isHome && !server.isAvoided ? 1 + homeQueuePart : 1);
		if (server.hasAllowance && server.load < limit) {
			const choice = {server, reason: isHome ? ChoiceReason.home : ChoiceReason.next};
			if (!server.isAvoided) {
				return choice;
			}

			avoided ??= choice;
		}

		isHome = false;
	}

	return avoided;
}

/** Chooses the server for a request without an object: the least loaded one. */
export function leastLoaded<Server extends Candidate>(servers: readonly Server[]): Choice<Server> | undefined {
	const free = servers.filter(server => server.hasAllowance && server.load < server.slots);
	const preferred = free.filter(server => !server.isAvoided);
	let least: Server | undefined;
	for (const server of preferred.length > 0 ? preferred : free) {
		if (least === undefined || server.load / server.slots < least.load / least.slots) {
			least = server;
		}
	}

	return least && {server: least, reason: ChoiceReason.leastLoaded};
}
