import test from 'ava';
import {
	createMemoryLogger, createSilentLogger, ManualTimerService, ResultCode, type Logger,
} from '@fescuewick/core';
import {type SnapshotBody, type VmRecord} from '@fescuewick/wire';
import {parseClientBlock} from '../blocks/address.js';
import {BlockTable} from '../blocks/block-table.js';
import {LookupResolver, transitionTtlMs, noCapacityRetryMs} from './lookup-resolver.js';
import {AnswerReason, renderAnswer, type Answer} from './answer-table.js';

const domains = [['addis-1', 'addis'], ['addis-2', 'addis'], ['tigray-1', 'tigray']];
const members = domains.flatMap(([failureDomain, region]) => [0, 1, 2].map((index): VmRecord => ({
	vm: `${failureDomain}-${index}`, failureDomain, region, leaving: false, controlAddress: '', entryUrl: `http://${failureDomain}-${index}`, lookupUrl: '', adminUrl: '',
})));
const base: SnapshotBody = {
	revision: 1,
	configuration: {
		classes: [{
			name: 'fast', latenessTargetMs: 100, deadlineMs: 1000, safety: 'repeatable',
		}],
		services: [{name: 'booking', routes: [{method: 'GET', pathPrefix: '/', class: 'fast'}]}],
	},
	members,
	backends: [], revokedKeyHashes: [], keysAgeMs: 0, loads: [], shiftGrants: [], controlIncarnation: 'self',
	vmStates: members.map(({vm}) => ({vm, ready: true, incarnation: `inc-${vm}`})),
};
type Body = {ttlMs: number; orderKeyPrefix: string; endpoints: Array<{vm: string; failureDomain: string; region: string}>};

function setUp(logger: Logger = createSilentLogger()) {
	const timers = new ManualTimerService();
	const resolver = new LookupResolver({
		timers,
		logger,
		location: {vm: 'addis-1-0', failureDomain: 'addis-1', region: 'addis'},
		lookupTtlMs: 5000,
		nearestRegions: {},
		blocks: BlockTable.from([{block: '10.0.0.0/8', region: 'addis'}]),
	});
	const answers = () => Array.from({length: 300}, (_, index) => resolver.answerFor('booking', parseClientBlock(`10.0.${index % 256}.${Math.floor(index / 256)}`)!).answer);
	const bodyOf = (answer: Answer) => JSON.parse(renderAnswer(answer, timers.wallClockMs()).text) as Body;
	return {
		timers, resolver, answers, bodies: () => answers().map(answer => bodyOf(answer)),
	};
}

const readiness = (ready: (vm: string) => boolean): Pick<SnapshotBody, 'vmStates'> => ({vmStates: members.map(({vm}) => ({vm, ready: ready(vm), incarnation: `inc-${vm}`}))});

// Guards against clients concentrated on one VM, and against clients that change their VM when an unrelated one is added or removed.
test('clients are distributed over both failure domains and keep their VM when an unrelated one is removed', t => {
	const {resolver, bodies} = setUp();
	resolver.update(base);
	const before = bodies();
	const counts = new Map<string, number>();
	for (const {endpoints, orderKeyPrefix} of before) {
		t.is(endpoints.length, 4);
		t.not(endpoints[0].failureDomain, endpoints[1].failureDomain);
		t.true(orderKeyPrefix.startsWith(`fw1.${endpoints[0].vm}.inc-${endpoints[0].vm}.`));
		counts.set(endpoints[0].vm, (counts.get(endpoints[0].vm) ?? 0) + 1);
	}

	t.is(counts.size, 6);
	t.true([...counts.values()].every(count => count > 20));
	resolver.update({...base, ...readiness(vm => vm !== 'addis-2-1')});
	for (const [index, {endpoints}] of bodies().entries()) {
		const first = before[index].endpoints[0].vm;
		t.is(endpoints[0].vm === first, first !== 'addis-2-1');
		t.true(endpoints.every(endpoint => endpoint.vm !== 'addis-2-1'));
	}
});

// Guards against answers that contain VMs about to stop, and against answers without endpoints while any VM serves.
test('answers contain leaving and drained VMs only as a last resort and have a short time to live after the change', async t => {
	const {resolver, bodies, timers} = setUp();
	resolver.update(base);
	t.true(bodies().every(body => body.ttlMs === 5000));
	const leaving = (vms: RegExp) => members.map(member => ({...member, leaving: vms.test(member.vm)}));
	resolver.update({...base, members: leaving(/^addis-1/)});
	t.true(bodies().every(body => body.endpoints.every(endpoint => endpoint.failureDomain === 'addis-2') && body.ttlMs === transitionTtlMs));
	await timers.advance(61_000);
	resolver.update({...base, members: leaving(/^addis-1/)});
	t.true(bodies().every(body => body.ttlMs === 5000));
	const drains = [{kind: 'failure-domain', name: 'addis-2'}];
	resolver.update({
		...base, revision: 2, configuration: {...base.configuration as object, drains}, members: leaving(/^addis-1/),
	});
	t.true(bodies().every(body => body.endpoints[0].failureDomain === 'addis-2'));
	resolver.update({...base, revision: 3, members: leaving(/./)});
	t.true(bodies().every(body => body.endpoints.length > 0));
});

// Guards against sending clients of a lost region to other regions without a grant, and against decisions that are not logged.
test('clients of a lost region without grants are rejected with a retry delay', t => {
	const lines: Array<Record<string, unknown>> = [];
	const {resolver, answers} = setUp(createMemoryLogger(lines));
	resolver.update(base);
	resolver.update({...base, ...readiness(vm => vm.startsWith('tigray'))});
	for (const answer of answers()) {
		t.is(answer.code, ResultCode.noCapacity);
		t.is(answer.reason, AnswerReason.noCapacity);
		t.is(answer.retryAfterMs, noCapacityRetryMs);
	}

	t.like(lines.find(line => line.decision === 'shift'), {home: 'addis', state: 'lost', homeFraction: 0});
	resolver.update({...base, members: members.filter(member => member.region !== 'addis')});
	t.true(answers().every(answer => answer.code === ResultCode.noCapacity));
	resolver.update({...base, revision: 9, configuration: {services: []}});
	t.is(resolver.revision, 1);
});
