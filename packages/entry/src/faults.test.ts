import test from 'ava';
import {request} from 'undici';
import {
	seededRandom, shopKey, startDeployment, testConfiguration,
} from './testing/deployment.js';

const orders = 150;
const attempts = 4;

// Guards against orders that run twice, wrong outcomes and answers of other orders while servers are silent, shed, cut connections or drain.
test('under server faults no order runs twice, and reported outcomes are correct', async t => {
	const configuration = {...testConfiguration, classes: testConfiguration.classes.map(entry => ({...entry, latenessTargetMs: 100, deadlineMs: 300}))};
	const deployment = await startDeployment({backends: [{slots: 4}, {slots: 4}, {slots: 4}], records: records => records.map(record => ({...record, slots: 6})), configuration});
	t.teardown(async () => deployment.stop());
	const random = seededRandom(71);
	const faults = setInterval(() => {
		for (const {behaviour} of deployment.backends) {
			const fault = random();
			Object.assign(behaviour, {
				silent: fault < 0.1, slots: fault >= 0.1 && fault < 0.3 ? 0 : 4, cutFraction: fault >= 0.3 && fault < 0.5 ? 0.5 : 0, draining: fault >= 0.5 && fault < 0.6,
			});
		}
	}, 60);
	t.teardown(() => {
		clearInterval(faults);
	});
	const outcomesByOrder = new Map<string, string[]>();
	const sendOrder = async (orderKey: string) => {
		const reportedOutcomes: string[] = [];
		outcomesByOrder.set(orderKey, reportedOutcomes);
		for (let attempt = 0; attempt < attempts; attempt++) {
			try {
				const answer = await request(`${deployment.url}/order`, {method: 'POST', headers: {'x-api-key': shopKey, 'idempotency-key': orderKey}, body: orderKey});
				const {body, outcome} = await answer.body.json() as {body?: string; outcome?: string};
				reportedOutcomes.push(outcome ?? 'done');
				t.true(outcome !== undefined || body === orderKey);
			} catch {
				reportedOutcomes.push('cut');
			}
		}
	};

	for (let index = 0; index < orders; index += 10) {
		await Promise.all(Array.from({length: 10}, async (_, offset) => sendOrder(`o-${index + offset}`)));
	}

	const outcomes = new Set<string>();
	for (const [orderKey, reportedOutcomes] of outcomesByOrder) {
		const runs = deployment.backends.reduce((sum, {observations}) => sum + (observations.runsByOrder.get(orderKey) ?? 0), 0);
		t.true(runs <= 1, `${orderKey} ran ${runs} times: ${reportedOutcomes.join(', ')}`);
		t.false(reportedOutcomes.every(outcome => outcome === 'not-run') && runs > 0, `${orderKey} ran but was reported as not run`);
		t.false(reportedOutcomes.includes('done') && runs === 0, `${orderKey} did not run but was reported as done`);
		for (const outcome of reportedOutcomes) {
			outcomes.add(outcome);
		}
	}

	// Unless every outcome occurred, the faults were not exercised.
	t.deepEqual([...outcomes].sort(), ['cut', 'done', 'not-run', 'unknown']);
});

// Guards against refused requests when a restarted control daemon sends a snapshot before it knows the platform's list of servers.
test('a snapshot without a list of servers keeps the current servers', async t => {
	const deployment = await startDeployment({backends: [{}, {}]});
	t.teardown(async () => deployment.stop());
	deployment.control.push({backends: undefined});
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	const answer = await request(`${deployment.url}/check`, {headers: {'x-api-key': shopKey}});
	t.is(answer.headers['x-fescuewick-code'], '1000');
	await answer.body.dump();
});
