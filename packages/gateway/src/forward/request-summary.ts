import {resultCodeName, type ResultCode} from '@fescuewick/core';
import {type Placement} from '../placement/placer.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type ForwardingContext, type RequestSummary} from './forwarding-context.js';
import {type HedgeSummary} from './request-hedge.js';

/** How a request ended. */
export type RequestOutcome = {
	readonly code: ResultCode;
	readonly status: number | undefined;
	readonly reason: string | undefined;
	readonly waitedMs: number;
	readonly attempts: number;
	/** Id of the server of the last attempt. */
	readonly server: string | undefined;
	readonly placement: Placement | undefined;
	readonly expectedMs: number;
	/** Undefined unless requests are hedged by the settings. */
	readonly hedge: HedgeSummary | undefined;
};

/** Fields of a finished request's log line: its outcome and the placement, load and configuration behind it. */
export function summarizeRequest({id, route, workspace, service, arrivedAtMs}: AdmittedRequest, end: RequestOutcome, {timers, configurationVersion}: ForwardingContext): RequestSummary {
	const {code, status, reason, attempts, server, placement} = end;
	return {
		id,
		route: route.name,
		service,
		workspace: workspace?.name,
		code,
		outcome: resultCodeName(code),
		status,
		reason,
		durationMs: Math.round(timers.nowMs() - arrivedAtMs),
		waitedMs: Math.round(end.waitedMs),
		attempts,
		server,
		placed: placement?.reason,
		load: placement && Math.round(placement.load * 10) / 10,
		isRemote: placement?.isRemote,
		serverLimitPerS: placement?.limitPerS,
		expectedMs: Math.round(end.expectedMs),
		configuration: configurationVersion(),
		...end.hedge,
	};
}
