import test from 'ava';
import {ChartRunner, chartTransitions, nextState} from '@fescuewick/core';
import {linkChart, memberChart} from './charts.js';
import {MemberState} from './index.js';

for (const chart of [linkChart, memberChart]) {
	// Guards against a runner whose transitions differ from those of the chart file, and against unreachable states.
	test(`every transition of the ${chart.id} chart leads to the state given in its file`, t => {
		const reached = new Set([chart.initial]);
		for (const {from, event, to} of chartTransitions(chart)) {
			const runner = new ChartRunner({...chart, initial: from});
			runner.send(event);
			t.is(runner.state, to, `${from} on ${event}`);
			t.is(nextState(chart, from, event), to);
			t.is(nextState(chart, from, 'no-such-event'), undefined);
			t.false(runner.send('no-such-event'));
			reached.add(to);
			runner.stop();
		}

		t.deepEqual([...reached].sort((a, b) => a.localeCompare(b)), Object.keys(chart.states).sort((a, b) => a.localeCompare(b)));
	});
}

// Guards against a state that only one of the chart and `MemberState` has.
test('the states of the member chart are those of MemberState and gone', t => {
	t.deepEqual([...Object.values(MemberState), 'gone'].sort((a, b) => a.localeCompare(b)), Object.keys(memberChart.states).sort((a, b) => a.localeCompare(b)));
});
