import test from 'ava';
import {chooseBackend, ChoiceReason, type Candidate} from './choose-backend.js';

const server = (id: string, changes: Partial<Candidate> = {}): Candidate => ({
	id, load: 0, slots: 4, isAvoided: false, hasAllowance: true, ...changes,
});

test('an object stays with its first server while its wait there is short, and then has a steady second one', t => {
	// Guards against spreading an object: a server that has not handled it lately takes several times as long.
	t.like(chooseBackend([server('a', {load: 5}), server('b')], true), {server: {id: 'a'}, reason: ChoiceReason.home});
	t.like(chooseBackend([server('a', {load: 6}), server('b', {load: 2}), server('c')], true), {server: {id: 'b'}, reason: ChoiceReason.next});
	t.like(chooseBackend([server('a', {load: 6}), server('b', {load: 4}), server('c')], true), {server: {id: 'c'}, reason: ChoiceReason.next});
});

test('servers that fail many requests, are cold or full are passed over', t => {
	t.is(chooseBackend([server('a', {isAvoided: true}), server('b')], true)?.server.id, 'b');
	t.is(chooseBackend([server('a', {hasAllowance: false}), server('b')], true)?.server.id, 'b');
	t.is(chooseBackend([server('a', {load: 6}), server('b', {hasAllowance: false})], true), undefined);
});

test('a server that fails many requests is still better than none', t => {
	t.is(chooseBackend([server('a', {isAvoided: true}), server('b', {load: 4})], true)?.server.id, 'a');
});

test('requests without an object go to the least loaded server', t => {
	t.is(chooseBackend([server('a', {load: 2}), server('b', {load: 3, slots: 8}), server('c', {load: 3})], false)?.server.id, 'b');
});
