import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {ClientConnection} from '../stand-ins-3/connection.js';
import {host, route, runCase} from '../stand-ins-3/deployment.js';

/** Whether the case is run with its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';
const beforeMs = 8000;
const durationMs = 35_000;
const connectionsPerVm = 6;
/** Time after the change until it is in force and no planned work any more: configS and a second. */
const changeMs = 4000;
/** Calls of a kind that may be lost at a machine by the rule. */
const allowedLosses = 3;
/** Work and time budget of orders, as of `retiro-firma`. */
const orderWorkMs = 1492;
const orderDeadlineMs = 8146;
/** Work and time budget of the requests behind them, as of `orden-lista`, and their time-out before and after the change of the configuration. */
const copyWorkMs = 1115;
const copyDeadlineMs = 6276;
const copyTimeoutS = 6.276;
const changedCopyTimeoutS = 1.3;
/** Length of their answers; the largest in the site files has 540 KB. */
const copyBytes = 400_000;

const counts = {pairs: 0, answeredOrders: 0, answeredCopies: 0};
const losses = [];
let sequence = 0;

const routes = timeoutS => [
	route({
		name: 'sign', kind: 'unsafe', service: 'seal', timeoutS: orderDeadlineMs / 1000, targetLatencyS: 3,
	}),
	route({
		name: 'copy', kind: 'safe', service: 'vault', timeoutS,
	}),
	route({
		name: 'pack', kind: 'download', service: 'vault', timeoutS,
	}),
];

/** Sends an order and, before it is answered, a safe request on the same connection; again and again. */
async function runClient(deployment, vm, kind, untilMs) {
	for (let connection = new ClientConnection(vm.front), pairs = 0; performance.now() < untilMs;) {
		sequence++;
		const order = {
			method: 'POST', path: `/sign/${sequence}`, host, id: `order-${sequence}`, deadlineMs: orderDeadlineMs, body: `sign ${sequence}`,
		};
		const copy = {
			path: `/${kind}/${sequence}`, host, id: `${kind}-${sequence}`, deadlineMs: copyDeadlineMs,
		};
		const sentAtMs = performance.now();
		counts.pairs++;
		const [orderAnswer, copyAnswer] = await Promise.all(connection.send([order, copy]));
		counts.answeredOrders += orderAnswer.status === undefined ? 0 : 1;
		counts.answeredCopies += copyAnswer.status === undefined ? 0 : 1;
		if (orderAnswer.status === undefined) {
			const ran = deployment.servers.filter(({runs}) => runs.has(order.id)).map(({id}) => id);
			losses.push({
				vm: vm.plan.name, isKept: pairs > 0, ran, sentAtMs,
			});
			deployment.record([
				`${order.id}: sent to ${vm.plan.name} on a connection with ${pairs} earlier exchanges`,
				`ran at ${ran.join(', ') || 'no server'}`,
				`not answered: ${orderAnswer.error} after ${Math.round(orderAnswer.atMs - sentAtMs)} ms of ${orderDeadlineMs}`,
				`${copy.id} was sent behind it`,
			].join('; '));
		}

		pairs++;
		if (connection.ended !== undefined) {
			connection = new ClientConnection(vm.front);
			pairs = 0;
			// The first pair on a connection is not counted, so that the others are sent on a kept one.
			await Promise.all(connection.send([{...order, id: `first-${sequence}`}]));
			pairs++;
		}
	}
}

await runCase(import.meta.dirname, async deployment => {
	await deployment.start({
		vmCount: 2,
		services: ['seal', 'vault'],
		routes: routes(copyTimeoutS),
		servers: [
			...[1, 2, 3].map(number => ({
				id: `seal-${number}`, service: 'seal', work: () => ({workMs: orderWorkMs, bytes: 200}),
			})),
			...[1, 2, 3].map(number => ({
				id: `vault-${number}`, service: 'vault', work: () => ({workMs: copyWorkMs, bytes: copyBytes}),
			})),
		],
	});
	const untilMs = performance.now() + beforeMs + durationMs;
	const clients = Promise.all(deployment.vms.flatMap(vm => Array.from({length: connectionsPerVm}, async (_, index) => runClient(deployment, vm, index % 2 === 0 ? 'copy' : 'pack', untilMs))));
	await sleep(beforeMs);
	deployment.record(`before the change: ${losses.length} of ${counts.pairs} orders without an answer`);
	const changedAtMs = performance.now();
	if (hasTrouble) {
		deployment.publish({hosts: [{host, paths: routes(changedCopyTimeoutS)}]});
		deployment.record(`the operator changes the time-out of the routes copy and pack from ${copyTimeoutS} to ${changedCopyTimeoutS} s`);
	}

	await clients;
	// All servers are sound.
	const counted = losses.filter(({isKept, ran, sentAtMs}) => isKept && ran.length > 0 && sentAtMs > changedAtMs + changeMs);
	const perVm = deployment.vms.map(({plan: {name}}) => counted.filter(({vm}) => vm === name).length);
	deployment.record(`${counts.pairs} pairs sent; ${counts.answeredOrders} orders and ${counts.answeredCopies} requests behind them answered`);
	const what = `orders sent later than ${changeMs} ms after the change, passed on to a server from a kept connection, which was closed without an answer`;
	deployment.record(`${what}: ${perVm.join(' and ')} at the two VMs; ${allowedLosses} are allowed at each`);
	return perVm.some(count => count > allowedLosses);
});
