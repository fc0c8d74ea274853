import {RequestKind, type RequestResult} from './caller.js';
import {
	keyOf, mixedTopology, mixedServiceMs, smallWorkspace,
} from './mixed-configuration.js';
import {type MixedRun} from './mixed-run.js';

// The invariants I3 to I12 and the limits below are those of the design document; the limits include a margin for late timers on a busy machine.
const maxDeathDetectionMs = 4500;
const maxLeaveDelayMs = 5000;
const maxWithdrawalMs = 5000;
const maxStaleKeysMs = 10_000;
const maxLookupMs = 1000;
const maxAnswerMs = 4000;
/** Time after a caller's disconnect within which its cancelled request ends at the server; far below `uncancelledWorkMs`, so that only a cancelled request ends in time. */
const maxCancellationMs = 1000;
/** A draining VM accepts requests for the time to live of look-up answers plus 2 s, here 2.5 s. */
const minDrainAcceptMs = 2400;
/** Sum of 2.5 s in which the VM still accepts requests, 5 s to report order outcomes, 6 s for the journal if the store does not answer, and a margin. */
const maxDrainMs = 14_500;

/** Checks the invariants of one step of the system's work, such as a look-up or a drain; yields their violations in a run. */
export type StepCheck = (run: MixedRun) => Iterable<string>;

const isAffected = ({fault, fixture, times}: MixedRun, {url, startedMs, endedMs}: RequestResult): boolean =>
	endedMs > times.faultStartMs && startedMs < times.faultEndMs + maxDeathDetectionMs
	&& (fault.affectedVms ?? []).some(name => fixture.deployment.vms.some(({record}) => record.vm === name && record.entryUrl === url));

const problemsOf = (run: MixedRun, ...ids: readonly string[]): string[] => run.fixture.caller.problems().filter(problem => ids.some(id => problem.startsWith(`${id}:`)));

const runsOfRequest = ({backendRuns}: MixedRun, id: string) => backendRuns.filter(({requestId}) => requestId === id);

/** Look-ups answer within `maxLookupMs`, name no VM that is down, and keep working at VMs that the fault does not affect. */
function * checkLookUp(run: MixedRun): Iterable<string> {
	const {lookups: {samples}, downPeriods, fault, times} = run;
	const cutVms = run.fixture.deployment.vms.map(({record}) => record).filter(({failureDomain}) => failureDomain === fault.cutDomain).map(({vm}) => vm);
	const affectedVms = new Set([...fault.affectedVms ?? [], ...cutVms]);
	for (const {vm, atMs, durationMs, status, code, urls} of samples.filter(sample => sample.atMs > times.faultStartMs)) {
		for (const {url, fromMs, untilMs} of downPeriods) {
			if (urls.includes(url) && atMs > fromMs + maxDeathDetectionMs && atMs < untilMs) {
				yield `look-up: ${vm} names ${url} ${Math.round(atMs - fromMs)} ms after it went down`;
			}
		}

		if (affectedVms.has(vm) || (status === 0 && hasLeft(run, vm))) {
			continue;
		}

		if (durationMs > maxLookupMs) {
			yield `look-up: ${vm} took ${Math.round(durationMs)} ms, limit ${maxLookupMs} ms, for a query ${Math.round(atMs - times.faultStartMs)} ms after the fault began`;
		}

		if (vm === 'north-a-1' && (status !== 200 || urls.length === 0)) {
			yield `look-up: ${vm} answered with status ${status}, code ${code} and ${urls.length} VMs to a query ${Math.round(atMs - times.faultStartMs)} ms after the fault began`;
		}
	}
}

const hasLeft = ({fixture}: MixedRun, vm: string) => fixture.deployment.vms.every(({record}) => record.vm !== vm);

/** I3: no request with an unknown key runs, and each request runs for the workspace of its key. */
function * checkKeyCheck(run: MixedRun): Iterable<string> {
	yield * problemsOf(run, 'I3');
	for (const {id, key, code} of run.results) {
		if (key === keyOf('nobody') && runsOfRequest(run, id).length > 0) {
			yield `I3: request ${id} with an unknown key ran, code ${code}`;
		}
	}
}

/** I6: in no time window are more than burst + rate × time requests of a workspace admitted, and some are admitted again after the fault. */
function * checkRateShare(run: MixedRun): Iterable<string> {
	const {ratePerS, burst, name} = smallWorkspace;
	const admitted = run.results.flatMap(({id, key, startedMs}) => {
		const firstRun = runsOfRequest(run, id).at(0);
		return key === keyOf(name) && firstRun !== undefined ? [{startedMs, ranMs: firstRun.startedMs}] : [];
	}).sort((a, b) => a.ranMs - b.ranMs);
	// A request that was sent after the start of a window and ran before its end took its token within the window and counts toward its limit.
	for (const {startedMs: fromMs} of admitted) {
		let count = 0;
		for (const {startedMs, ranMs} of admitted) {
			if (startedMs >= fromMs) {
				count++;
				const allowed = burst + (ratePerS * (ranMs - fromMs) / 1000);
				if (count > allowed + 1) {
					yield `I6: ${count} runs of ${name} in ${Math.round(ranMs - fromMs)} ms, limit ${allowed.toFixed(1)}`;
					return;
				}
			}
		}
	}

	if (!run.recovery.servesSmallWorkspace) {
		yield `rate-share: no request of ${name} ran within 2 s after the recovery`;
	}
}

/** No server receives more requests at once than it has slots, requests wait for slots, and a request that is refused while waiting has not run. */
function * checkQueue(run: MixedRun): Iterable<string> {
	const {slots} = mixedTopology.services[0];
	for (const [server, {observations}] of run.fixture.deployment.backends) {
		if (observations.maxInFlight > slots || observations.shed > 0) {
			yield `queue: ${server} had ${observations.maxInFlight} requests at once with ${slots} slots and shed ${observations.shed}`;
		}
	}

	if (run.results.every(({status, startedMs, endedMs}) => status !== 200 || endedMs - startedMs < mixedServiceMs * 1.5)) {
		yield 'queue: no request waited for a slot';
	}

	for (const {id, code} of run.results) {
		if (code >= 1200 && code < 1300 && runsOfRequest(run, id).length > 0) {
			yield `I8: request ${id} was refused with ${code} and ran`;
		}
	}
}

/** I4 and I8: no server receives an API key, and a request that is answered "not run" did not run. */
const checkSend: StepCheck = run => problemsOf(run, 'I4', 'I8');

/** I7: no response is truncated or sent to the wrong request, and VMs that the fault does not affect answer within `maxAnswerMs`. */
function * checkAnswer(run: MixedRun): Iterable<string> {
	yield * problemsOf(run, 'I7');
	for (const result of run.results) {
		if (result.endedMs - result.startedMs > maxAnswerMs && !isAffected(run, result)) {
			yield `answer: ${result.id} ${result.kind} took ${Math.round(result.endedMs - result.startedMs)} ms, limit ${maxAnswerMs} ms, code ${result.code}, connection error ${result.error}`;
		}
	}
}

/** When a caller disconnects, its request is cancelled at the server or not sent at all; an order that was already sent continues, so that its repeat gets the answer. */
function * checkCancel(run: MixedRun): Iterable<string> {
	const abandoned = run.results.filter(({disconnectedMs, startedMs}) => disconnectedMs !== undefined && startedMs > run.times.faultStartMs && startedMs < run.times.faultEndMs);
	let cancelled = 0;
	for (const {id, disconnectedMs, kind} of abandoned) {
		for (const {startedMs, endedMs, isCancelled, server} of runsOfRequest(run, id)) {
			cancelled += isCancelled ? 1 : 0;
			if (startedMs > disconnectedMs! + maxCancellationMs) {
				yield `cancel: ${id} was sent to ${server} ${Math.round(startedMs - disconnectedMs!)} ms after the disconnect`;
			}

			if (kind !== RequestKind.order && (endedMs ?? Infinity) > disconnectedMs! + maxCancellationMs) {
				yield `cancel: ${id} ran at ${server} from ${Math.round(startedMs - disconnectedMs!)} ms to ${Math.round((endedMs ?? Infinity) - disconnectedMs!)} ms relative to the disconnect`;
			}
		}
	}

	if (cancelled < 3) {
		yield `cancel: only ${cancelled} of ${abandoned.length} requests were cancelled at a server during the fault, expected at least 3`;
	}
}

/** I9: no order runs twice, and orders are accepted again after the fault. */
function * checkOrderClaim(run: MixedRun): Iterable<string> {
	yield * problemsOf(run, 'I9');
	if (!run.recovery.acceptsOrders) {
		yield 'order-claim: a ready VM accepts no order within the recovery time-out of at most 10 s';
	}
}

/** I12: no VM reverts to an older configuration, and all VMs have the latest one within 10 s after the fault. */
function * checkConfiguration(run: MixedRun): Iterable<string> {
	yield * run.revisions.reverts.map(revert => `I12: ${revert}`);
	if (!run.recovery.hasOneRevision) {
		yield 'I12: the VMs do not all have the latest revision 10 s after the fault';
	}
}

/** I5 and I12: a withdrawn key stops working within `maxWithdrawalMs`, and an issued key works everywhere after the fault. */
function * checkKeyChange(run: MixedRun): Iterable<string> {
	const {times: {withdrawnMs, faultInEffectMs}, fault, results} = run;
	if (withdrawnMs === undefined) {
		yield 'I5: the key could not be withdrawn';
		return;
	}

	const withdrawnKeyResults = results.filter(({key}) => key === keyOf('gone'));
	const deadlineMs = Math.max(withdrawnMs + maxWithdrawalMs, fault.cutDomain === undefined ? 0 : faultInEffectMs + maxStaleKeysMs);
	if (!withdrawnKeyResults.some(({startedMs, status}) => startedMs < withdrawnMs && status === 200) || !withdrawnKeyResults.some(({startedMs}) => startedMs > deadlineMs)) {
		yield 'I5: the withdrawn key was not used both before and after its withdrawal';
	}

	for (const {id, startedMs, code} of withdrawnKeyResults) {
		if (startedMs > deadlineMs && runsOfRequest(run, id).length > 0) {
			yield `I5: ${id} ran ${Math.round(startedMs - withdrawnMs)} ms after its key was withdrawn, code ${code}`;
		}
	}

	if (!run.recovery.acceptsFreshKey) {
		yield 'I12: the issued key does not work at every ready VM within the recovery time-out of at most 10 s';
	}
}

/** I11: a VM that drains aborts no request and stops within `maxDrainMs`; a server that announces that it drains receives no new requests. */
function * checkDrain(run: MixedRun): Iterable<string> {
	const {times: {drainStartMs, drainEndMs}, results, drainedUrl} = run;
	if (drainEndMs === undefined || drainEndMs > drainStartMs + maxDrainMs) {
		yield `I11: drain time of the VM in ms: ${drainEndMs === undefined ? 'none, the drain did not end during the run' : Math.round(drainEndMs - drainStartMs)}, limit ${maxDrainMs}`;
	}

	for (const {id, url, startedMs, endedMs, disconnectedMs, error, code, kind} of results) {
		const isRefusedEarly = error === 'ECONNREFUSED' && startedMs < drainStartMs + minDrainAcceptMs;
		if (url === drainedUrl && endedMs > drainStartMs && disconnectedMs === undefined && error !== undefined && (isRefusedEarly || error !== 'ECONNREFUSED')) {
			yield `I11: ${kind} ${id} to the draining VM: ${error}, code ${code}, from ${Math.round(startedMs - drainStartMs)} to ${Math.round(endedMs - drainStartMs)} ms after the drain began`;
		}
	}

	yield * checkNoNewRequests(run, ['booking-2']);
}

/** A VM that joins serves requests, runs none of a withdrawn key and does not revert to an older revision. */
function * checkJoin(run: MixedRun): Iterable<string> {
	const {times: {joinedServesSinceMs, faultInEffectMs}} = run;
	if (joinedServesSinceMs === undefined) {
		yield 'join: the VM that joined does not serve within 10 s';
	}

	const joined = run.fixture.deployment.vms.find(({record}) => record.vm.endsWith('-3'));
	const joinedResults = run.results.filter(({url}) => url === joined?.record.entryUrl);
	const deadlineMs = Math.max((run.times.withdrawnMs ?? 0) + maxWithdrawalMs, run.fault.cutDomain === undefined ? 0 : faultInEffectMs + maxStaleKeysMs);
	yield * joinedResults.filter(({id, key, startedMs}) => key === keyOf('gone') && startedMs > deadlineMs && runsOfRequest(run, id).length > 0)
		.map(({id}) => `I5: the VM that joined ran ${id} of a withdrawn key`);
	yield * run.revisions.reverts.filter(revert => joined !== undefined && revert.startsWith(`${joined.record.vm}:`));
}

/** I10: servers that leave receive no new requests after 5 s, and look-ups stop naming the VM that left. */
function * checkLeave(run: MixedRun): Iterable<string> {
	yield * checkNoNewRequests(run, run.leavingServers);
	for (const {vm, atMs, urls} of run.lookups.samples) {
		if (atMs > run.times.drainStartMs + maxDeathDetectionMs && urls.includes(run.drainedUrl)) {
			yield `leave: ${vm} still names the VM that left, ${Math.round(atMs - run.times.drainStartMs)} ms after its drain began`;
		}
	}
}

function * checkNoNewRequests({backendRuns, times: {leavingSinceMs}}: MixedRun, servers: readonly string[]): Iterable<string> {
	for (const {server, startedMs, requestId} of backendRuns) {
		if (servers.includes(server) && startedMs > leavingSinceMs + maxLeaveDelayMs) {
			yield `I10: ${server} received ${requestId} ${Math.round(startedMs - leavingSinceMs)} ms after it began to leave`;
		}
	}
}

/** Checks by the names of the columns in `docs/fault-matrix.yaml`. */
export const stepChecks = {
	'look-up': checkLookUp,
	'key-check': checkKeyCheck,
	'rate-share': checkRateShare,
	queue: checkQueue,
	send: checkSend,
	answer: checkAnswer,
	cancel: checkCancel,
	'order-claim': checkOrderClaim,
	'configuration-apply': checkConfiguration,
	'key-change': checkKeyChange,
	drain: checkDrain,
	join: checkJoin,
	leave: checkLeave,
} satisfies Record<string, StepCheck>;
