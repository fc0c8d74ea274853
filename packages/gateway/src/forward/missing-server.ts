import {ResultCode} from '@fescuewick/core';
import {pauseRetryAfterMs} from '../admission/admission.js';
import {PlacementFailure} from '../placement/placer.js';
import {type ForwardingContext} from './forwarding-context.js';
import {type RequestPlacement} from './request-placement.js';

/** Error of a request that no server may run now. */
export type MissingServerError = {
	readonly code: ResultCode;
	readonly reason: string;
	/** When the caller is told to come back; undefined for the usual time. */
	readonly retryMs?: number;
};

/** Returns the error of a request that no server may run; if servers only ask for a pause, its caller is told to come back after it. */
export function missingServerError(failure: PlacementFailure.none | PlacementFailure.notAdmitted, mayHaveRun: boolean, placement: RequestPlacement, {random}: ForwardingContext): MissingServerError {
	if (failure === PlacementFailure.notAdmitted) {
		return {code: mayHaveRun ? ResultCode.backendCut : ResultCode.queueFull, reason: 'the home region admits other objects'};
	}

	if (mayHaveRun) {
		return {code: ResultCode.backendCut, reason: 'no usable server'};
	}

	const pauseMs = placement.pauseMs();
	return pauseMs === undefined
		? {code: ResultCode.noBackend, reason: 'no usable server'}
		: {code: ResultCode.noBackend, reason: 'all usable servers ask for a pause', retryMs: pauseRetryAfterMs(pauseMs, random())};
}
