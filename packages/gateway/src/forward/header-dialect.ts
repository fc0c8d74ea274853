import {type ReportedLoad} from '../placement/backend.js';

/** What the headers of a caller's request say. */
export type RequestFields = {
	/** The caller's id of the request; undefined if it sent none. */
	readonly id: string | undefined;
	/** How long the caller will wait, in milliseconds; undefined if it did not say. */
	readonly timeLeftMs: number | undefined;
	readonly key: string | undefined;
	/** Object that the request concerns. */
	readonly affinityKey: string | undefined;
};

/** What the system tells a backend server with a request. */
export type ForwardedFields = {
	/** Id of the request; the caller's, if it sent one. */
	readonly id: string;
	/** Time left for the answer, in milliseconds. */
	readonly timeLeftMs: number;
	readonly workspace: string | undefined;
	/** Server that the request is meant for. */
	readonly server: string;
};

/** What the headers of a backend server's answer say. */
export type AnswerFields = {
	/** Id of the request that it answers; undefined if it names none. */
	readonly id: string | undefined;
	/** The server states that it did not run the request. */
	readonly isNotRun: boolean;
	/** The server is another one than the request was meant for. */
	readonly isMisdirected: boolean;
	/** Whether it carries the server's proof that it made the answer. */
	readonly isProven: boolean;
	readonly load: ReportedLoad | undefined;
	readonly server: string | undefined;
	/** How much longer the server stays cold, in milliseconds; undefined if it does not say. */
	readonly coldForMs: number | undefined;
};

/** Headers by name in lower case. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** Names and forms of the headers between callers, the system and backend servers. */
export abstract class HeaderDialect {
	/** Reads a caller's request. */
	abstract readRequest(headers: HeaderMap): RequestFields;
	/** Whether a request header must not reach backend servers; `name` is in lower case. */
	abstract isReserved(name: string): boolean;
	/** Headers that the system adds for a backend server, as a flat list. */
	abstract forwarded(fields: ForwardedFields): string[];
	/** Reads a backend server's answer. */
	abstract readAnswer(status: number, headers: HeaderMap): AnswerFields;
	/** Name of the header with a request's id in answers of the system. */
	abstract get requestIdHeader(): string;
}
