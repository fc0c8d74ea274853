import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type RequestBody} from '@fescuewick/entry/http';
import {type Route, type Workspace} from '../model/configuration.js';
import {type RequestFields} from './header-dialect.js';

/** A request that passed admission, with its route, workspace and body. */
export type AdmittedRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly fields: RequestFields;
	readonly id: string;
	readonly route: Route;
	readonly workspace: Workspace | undefined;
	readonly service: string;
	readonly body: RequestBody;
	readonly arrivedAtMs: number;
	/** Time by which the caller must have its answer. */
	readonly deadlineAtMs: number;
};

/** Affinity key of a request; undefined if its route has no affinity. */
export function affinityKeyOf({route, fields}: AdmittedRequest): string | undefined {
	return route.hasAffinity ? fields.affinityKey : undefined;
}
