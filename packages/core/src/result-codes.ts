/** What a caller may conclude about its request from an answer. */
export enum Outcome {
	done = 'done',
	notRun = 'not-run',
	unknown = 'unknown',
}

/** Numbered result codes, shared by HTTP answers, frames, logs and the operators' client. */
export enum ResultCode {
	ok = 1000,
	replayed = 1001,

	malformedRequest = 1100,
	noRoute = 1101,
	keyMissing = 1102,
	keyUnknown = 1103,
	keysStale = 1104,
	keyInQuery = 1105,
	duplicateKeyHeader = 1106,
	headersTooLarge = 1107,
	bodyTooLarge = 1108,
	requestTimeout = 1109,
	keyWithdrawn = 1110,
	workspaceUnknown = 1111,

	notReady = 1200,
	rateExceeded = 1201,
	queueFull = 1202,
	deadlineUnreachable = 1203,
	draining = 1204,
	noShare = 1205,
	callerLeft = 1206,

	claimUnavailable = 1303,
	orderOutcomeUnknown = 1304,
	orderInProgress = 1305,
	orderDoneNotHeld = 1306,
	orderKeyExpired = 1307,
	orderKeyInvalid = 1308,
	orderContentDiffers = 1309,

	noBackend = 1400,
	backendConnectFailed = 1401,
	backendCut = 1402,
	backendTimeout = 1403,
	backendShed = 1404,
	backendMalformed = 1405,

	serviceUnknown = 1500,
	noCapacity = 1501,
	lookupNotReady = 1502,

	internal = 2000,
	frameTooLarge = 2001,
	frameMalformed = 2002,
	peerSilent = 2003,
	peerClosed = 2004,
	requestToPeerTimeout = 2005,
	messageUnknown = 2006,
	settingsInvalid = 2007,

	storeUnavailable = 3000,
	storeTimeout = 3001,
	storeConflict = 3002,
	storeOutcomeUnknown = 3003,
	storeValueTooLarge = 3004,
	storeNotFound = 3005,
	storeMalformed = 3006,
	storeHistoryGone = 3007,

	configurationInvalid = 4000,
	configurationConflict = 4001,
	configurationUnreadable = 4002,
	usage = 4003,
	notConfirmed = 4004,
	objectUnknown = 4005,
	endpointUnreachable = 4006,
}

/** HTTP status, outcome and explanation of a result code. */
export type ResultCodeInfo = {
	readonly httpStatus: number;
	readonly outcome: Outcome;
	readonly text: string;
};

const notRun = (httpStatus: number, text: string): ResultCodeInfo => ({httpStatus, outcome: Outcome.notRun, text});
const unknown = (httpStatus: number, text: string): ResultCodeInfo => ({httpStatus, outcome: Outcome.unknown, text});
const done = (httpStatus: number, text: string): ResultCodeInfo => ({httpStatus, outcome: Outcome.done, text});

/** HTTP status, outcome and explanation of each result code; the source of `docs/result-codes.md`. */
export const resultCodeTable: Readonly<Record<ResultCode, ResultCodeInfo>> = {
	[ResultCode.ok]: done(200, 'The request was answered.'),
	[ResultCode.replayed]: done(200, 'The first answer to a repeated order.'),

	[ResultCode.malformedRequest]: notRun(400, 'The request is not valid HTTP or lacks a required part.'),
	[ResultCode.noRoute]: notRun(404, 'No route matches the method and path.'),
	[ResultCode.keyMissing]: notRun(401, 'The route needs a key and none was given.'),
	[ResultCode.keyUnknown]: notRun(401, 'The key is not known.'),
	[ResultCode.keysStale]: notRun(503, 'The VM cannot confirm that keys are still valid.'),
	[ResultCode.keyInQuery]: notRun(400, 'A key was given in the query string; send it in a header.'),
	[ResultCode.duplicateKeyHeader]: notRun(400, 'More than one key header was given.'),
	[ResultCode.headersTooLarge]: notRun(431, 'The request headers are too large.'),
	[ResultCode.bodyTooLarge]: notRun(413, 'The request body is too large.'),
	[ResultCode.requestTimeout]: notRun(408, 'The request did not arrive in time.'),
	[ResultCode.keyWithdrawn]: notRun(401, 'The key was withdrawn.'),
	[ResultCode.workspaceUnknown]: notRun(403, 'The workspace of the key is not configured.'),

	[ResultCode.notReady]: notRun(503, 'The VM has no configuration yet.'),
	[ResultCode.rateExceeded]: notRun(429, 'The workspace is over its rate and burst.'),
	[ResultCode.queueFull]: notRun(503, 'The queue of the workspace is full.'),
	[ResultCode.deadlineUnreachable]: notRun(503, 'The request cannot be answered within its deadline.'),
	[ResultCode.draining]: notRun(503, 'The VM is shutting down.'),
	[ResultCode.noShare]: notRun(503, 'The VM holds no share of the workspace rate at the moment.'),
	[ResultCode.callerLeft]: notRun(499, 'The caller closed the connection before the request was sent.'),

	[ResultCode.claimUnavailable]: unknown(503, 'The order could not be claimed; an earlier attempt may have run.'),
	[ResultCode.orderOutcomeUnknown]: unknown(409, 'An earlier attempt of this order may have run; it is not run again.'),
	[ResultCode.orderInProgress]: unknown(409, 'An earlier attempt of this order is still in progress.'),
	[ResultCode.orderDoneNotHeld]: done(409, 'The order ran; its answer is no longer held.'),
	[ResultCode.orderKeyExpired]: unknown(410, 'The order key is too old to be recognised; the order is not run.'),
	[ResultCode.orderKeyInvalid]: notRun(400, 'The order key is malformed.'),
	[ResultCode.orderContentDiffers]: notRun(422, 'The order key belongs to an earlier request with another method, path or body.'),

	[ResultCode.noBackend]: notRun(503, 'No backend server of the service can take the request.'),
	[ResultCode.backendConnectFailed]: notRun(502, 'No connection to a backend server could be opened.'),
	[ResultCode.backendCut]: unknown(502, 'The backend server closed the connection before its answer was complete.'),
	[ResultCode.backendTimeout]: unknown(504, 'The backend server did not answer within the deadline.'),
	[ResultCode.backendShed]: notRun(503, 'The backend server refused the request without running it.'),
	[ResultCode.backendMalformed]: unknown(502, 'The answer of the backend server is not valid HTTP.'),

	[ResultCode.serviceUnknown]: notRun(404, 'The service is not configured.'),
	[ResultCode.noCapacity]: notRun(503, 'No region can take more requests for the service now.'),
	[ResultCode.lookupNotReady]: notRun(503, 'The look-up daemon has no configuration yet.'),

	[ResultCode.internal]: unknown(500, 'Internal error.'),
	[ResultCode.frameTooLarge]: notRun(413, 'A frame is longer than the limit.'),
	[ResultCode.frameMalformed]: notRun(400, 'A frame is not valid CBOR of the expected shape.'),
	[ResultCode.peerSilent]: unknown(504, 'A connection to a peer went silent and was closed.'),
	[ResultCode.peerClosed]: unknown(502, 'A connection to a peer was closed.'),
	[ResultCode.requestToPeerTimeout]: unknown(504, 'A peer did not answer in time.'),
	[ResultCode.messageUnknown]: notRun(400, 'A peer sent a message of unknown type.'),
	[ResultCode.settingsInvalid]: notRun(500, 'The settings file of a process is not valid.'),

	[ResultCode.storeUnavailable]: notRun(503, 'The object store cannot be reached; nothing was written.'),
	[ResultCode.storeTimeout]: unknown(504, 'The object store did not answer in time.'),
	[ResultCode.storeConflict]: notRun(409, 'The object has another version than expected.'),
	[ResultCode.storeOutcomeUnknown]: unknown(504, 'The answer to a write was lost; it may have taken effect.'),
	[ResultCode.storeValueTooLarge]: notRun(413, 'The value is larger than the object store takes.'),
	[ResultCode.storeNotFound]: notRun(404, 'The object does not exist.'),
	[ResultCode.storeMalformed]: unknown(502, 'The object store gave an answer that cannot be read.'),
	[ResultCode.storeHistoryGone]: notRun(410, 'The object store no longer holds the changes since the given revision.'),

	[ResultCode.configurationInvalid]: notRun(422, 'The configuration is not valid.'),
	[ResultCode.configurationConflict]: notRun(409, 'The configuration changed since it was read.'),
	[ResultCode.configurationUnreadable]: notRun(400, 'The configuration file cannot be read.'),
	[ResultCode.usage]: notRun(400, 'The command line is not valid.'),
	[ResultCode.notConfirmed]: done(504, 'The change is accepted, but not every VM has confirmed it yet.'),
	[ResultCode.objectUnknown]: notRun(404, 'The named object is not configured.'),
	[ResultCode.endpointUnreachable]: unknown(502, 'The admin endpoint cannot be reached.'),
};

/** The name of a result code, as in `rateExceeded`. */
export function resultCodeName(code: ResultCode): string {
	return ResultCode[code];
}
