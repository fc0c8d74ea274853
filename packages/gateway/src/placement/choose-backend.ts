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
Chooses the server for a request among those that may run it.

Load it answers: more objects than a server remembers, and a server that has recently handled an object is several times faster. So a request goes to the first server in the order of its object, also if it has to wait there for a little; then to the next one with a free slot. Objects keep their order, so that a second choice is warm as well. Requests without an object go to the least loaded server.
*/
export function chooseBackend<Server extends Candidate>(ordered: readonly Server[], hasOrder: boolean): Choice<Server> | undefined {
	const [home] = ordered;
	if (hasOrder && home?.hasAllowance && !home.isAvoided && home.load < home.slots * (1 + homeQueuePart)) {
		return {server: home, reason: ChoiceReason.home};
	}

	const free = ordered.filter(server => server.hasAllowance && server.load < server.slots);
	const preferred = free.filter(server => !server.isAvoided);
	const choices = preferred.length > 0 ? preferred : free;
	if (choices.length === 0) {
		return undefined;
	}

	if (hasOrder) {
		return {server: choices[0], reason: choices[0] === home ? ChoiceReason.home : ChoiceReason.next};
	}

	let least = choices[0];
	for (const server of choices) {
		if (server.load / server.slots < least.load / least.slots) {
			least = server;
		}
	}

	return {server: least, reason: ChoiceReason.leastLoaded};
}
