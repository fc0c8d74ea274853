import test from 'ava';
import {ChartRunner, chartTransitions, type Chart} from './index.js';

const chart: Chart = {
	id: 'door', initial: 'closed', states: {closed: {on: {open: 'open'}}, open: {on: {close: 'closed', remove: 'gone'}}, gone: {type: 'final'}},
};

// Guards against a runner that makes an undeclared transition or ignores a declared one.
test('runner follows exactly the declared transitions', t => {
	for (const {from, event, to} of chartTransitions(chart)) {
		const runner = new ChartRunner({...chart, initial: from});
		t.true(runner.can(event));
		runner.send(event);
		t.is(runner.state, to);
	}

	const runner = new ChartRunner(chart);
	const changes: string[] = [];
	runner.onChange((state, previous) => changes.push(`${previous}>${state}`));
	t.false(runner.send('close'));
	t.true(runner.send('open'));
	t.deepEqual(changes, ['closed>open']);
});
