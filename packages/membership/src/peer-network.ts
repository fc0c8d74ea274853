import {type Cancel, type Incarnation} from '@fescuewick/core';
import {
	type MessageBodies, type MessageType, type ReplyBodies, type RequestType, type VmRecord,
} from '@fescuewick/wire';

/** State of a member in the view of a node. */
export enum MemberState {
	alive = 'alive',
	suspect = 'suspect',
	dead = 'dead',
	/** Known, for example from the platform's list, but no message from it and no report about its state has arrived. */
	listed = 'listed',
}

/** An entry VM in a node's view; views of different nodes may differ. */
export type Member = {
	readonly record: VmRecord;
	readonly state: MemberState;
	/** Incarnation of the member's control daemon; undefined until it is known. */
	readonly incarnation: Incarnation | undefined;
	/** Time since the last message from the member itself; undefined if there was none. */
	readonly heardAgeMs: number | undefined;
};

/** Sender of a message. */
export type Sender = {readonly vm: string; readonly incarnation: Incarnation};

/** Answers requests of one type. */
export type PeerRequestHandler<Type extends RequestType> = (body: MessageBodies[Type], from: Sender) => Promise<ReplyBodies[Type]>;
/** Receives one-way messages of one type. */
export type PeerMessageHandler<Type extends MessageType> = (body: MessageBodies[Type], from: Sender) => void;

/** The other control daemons as seen from one node. */
export abstract class PeerNetwork {
	/** This node's own record. */
	abstract readonly self: VmRecord;
	/** Incarnation of this control daemon. */
	abstract readonly incarnation: Incarnation;
	/** All known members, this node included. */
	abstract members(): readonly Member[];
	/** Sends a request to a node, opening a link if there is none; rejects with `peerClosed`, `peerSilent` or `requestToPeerTimeout`. A request to this node itself is handled locally. */
	abstract request<Type extends RequestType>(vm: string, type: Type, body: MessageBodies[Type], timeoutMs: number): Promise<ReplyBodies[Type]>;
	/** Sends a one-way message over an open link; dropped if there is none. */
	abstract send<Type extends MessageType>(vm: string, type: Type, body: MessageBodies[Type]): void;
	/** Registers the handler for requests of a type. */
	abstract handle<Type extends RequestType>(type: Type, handler: PeerRequestHandler<Type>): void;
	/** Registers a handler for one-way messages of a type. */
	abstract on<Type extends MessageType>(type: Type, handler: PeerMessageHandler<Type>): void;
	/** Calls `listener` after each change of the member list or a member's state. */
	abstract onChange(listener: () => void): Cancel;

	/** The member of this name; undefined if it is not known. */
	member(vm: string): Member | undefined {
		return this.members().find(member => member.record.vm === vm);
	}

	/** Names of live members of a failure domain, this node included. */
	liveVms(failureDomain: string): string[] {
		return this.members()
			.filter(member => member.record.failureDomain === failureDomain && member.state === MemberState.alive)
			.map(member => member.record.vm);
	}
}
