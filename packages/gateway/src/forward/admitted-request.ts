import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type RequestBody} from '@fescuewick/entry/http';
import {type Route, type Workspace} from '../model/configuration.js';
import {type RequestFields} from './header-dialect.js';

/** A request that was admitted: route, workspace and body are known. */
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
	/** When the answer has to be there. */
	readonly deadlineAtMs: number;
};

/** Key of the object that the request is about, if its route keeps requests for one object at one server. */
export function affinityKeyOf({route, fields}: AdmittedRequest): string | undefined {
	return route.hasAffinity ? fields.affinityKey : undefined;
}
