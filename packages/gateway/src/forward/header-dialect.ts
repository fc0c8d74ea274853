import {type ReportedLoad} from '../placement/backend.js';

/** Contents of the headers of a caller's request. */
export type RequestFields = {
	/** Request id set by the caller; undefined if it sent none. */
	readonly id: string | undefined;
	/** How long the caller waits for the answer, in milliseconds; undefined if it set no limit. */
	readonly timeLeftMs: number | undefined;
	/** API key of the caller. */
	readonly key: string | undefined;
	/** Key of the object that the request concerns, for routes with affinity. */
	readonly affinityKey: string | undefined;
};

/** Contents of the headers that the system adds to a request for a backend server. */
export type AddedFields = {
	/** Request id: that of the caller, or a generated one if it sent none. */
	readonly id: string;
	/** Time left until the deadline, in milliseconds. */
	readonly timeLeftMs: number;
	readonly workspace: string | undefined;
	/** Id of the server that the request is addressed to. */
	readonly server: string;
};

/** A server's limit on its requests. */
export type NamedLimit = {
	/** Requests a second that it takes from all VMs together; undefined if the value cannot be read. */
	readonly perS: number | undefined;
};

/** Contents of the headers of a backend server's answer. */
export type AnswerFields = {
	/** Id of the request that it answers; undefined if the header is missing. */
	readonly id: string | undefined;
	/** The server states that it did not run the request. */
	readonly isNotRun: boolean;
	/** The request reached another server than the one it was addressed to. */
	readonly isMisdirected: boolean;
	/** Whether the answer carries the server's proof that it made the answer itself. */
	readonly isProven: boolean;
	readonly load: ReportedLoad | undefined;
	readonly server: string | undefined;
	/** Remaining cold time of the server, in milliseconds; undefined if the header is missing. */
	readonly coldForMs: number | undefined;
	/** The server says that it is leaving and wants no new requests. */
	readonly isLeaving: boolean;
	/** How long the server wants no requests from this VM, in milliseconds; undefined if it does not say so. */
	readonly pauseMs: number | undefined;
	/** The limit that the server names; undefined if it names none. */
	readonly limit: NamedLimit | undefined;
};

/** Headers by lower-case name. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** Maps the header names and formats of a platform to the fields of requests and answers. */
export abstract class HeaderDialect {
	/** Parses the headers of a caller's request. */
	abstract readRequest(headers: HeaderMap): RequestFields;
	/** Whether a header of the caller's request must not be forwarded to backend servers; `name` is in lower case. */
	abstract isReserved(name: string): boolean;
	/** Headers that the system adds for a backend server, as a list of alternating names and values. */
	abstract addedHeaders(fields: AddedFields): string[];
	/** Parses the headers of a backend server's answer. */
	abstract readAnswer(status: number, headers: HeaderMap): AnswerFields;
	/** Name of the header that carries the request id in answers of the system. */
	abstract get requestIdHeader(): string;
}
