import test from 'ava';
import {ManualTimerService} from '@fescuewick/core';
import {createPlacerFixture, fixtureRequest} from '../testing/placer-fixture.js';
import {type Placement} from '../placement/placer.js';
import {recordAnswerFeedback} from './backend-feedback.js';
import {type AnswerFields} from './header-dialect.js';

const answer = (load: AnswerFields['load']): AnswerFields => ({
	id: 'r1', isNotRun: false, isMisdirected: false, isProven: true, load, server: undefined, coldForMs: undefined, isLeaving: false, pauseMs: undefined, limit: undefined,
});

test('a server that reports with an answer that its machine is slow gets no request while another has a free slot', t => {
	// Guards against a figure that is decoded but does not reach the choice of the next server.
	const timers = new ManualTimerService();
	const placer = createPlacerFixture({timers, region: 'north', servers: ['a', 'b'].map(id => ({id, slots: 4, region: 'north'}))});
	const [slow, other] = placer.backends;
	const chosen = () => (placer.place(fixtureRequest(undefined)) as Placement).backend.id;
	recordAnswerFeedback(other, answer({running: 3, waiting: 0}), timers.nowMs());
	recordAnswerFeedback(slow, answer({running: 1, waiting: 0}), timers.nowMs());
	t.is(chosen(), slow.id);
	recordAnswerFeedback(slow, answer({running: 1, waiting: 0, slowness: 2.5}), timers.nowMs());
	t.deepEqual([chosen(), chosen(), chosen()], [other.id, other.id, other.id]);
	recordAnswerFeedback(slow, answer({running: 1, waiting: 0, slowness: 1}), timers.nowMs());
	t.is(chosen(), slow.id);
});
