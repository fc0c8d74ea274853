import test from 'ava';
import {Collection} from '@fescuewick/store';
import {configuration, route} from '../testing/fixtures.js';
import {
	addBackend, start, statusOf, waitUntil,
} from '../testing/gateway-steps.js';
import {storeWith} from '../testing/start-gateway.js';

const routes = [
	route({host: '127.0.0.1'}),
	route({
		name: 'open', host: '127.0.0.1', pathPrefix: '/open/', isOpen: true,
	}),
];

test('no key is accepted once the last workspace is removed', async t => {
	// Guards against requests with a withdrawn key, or with any key, that run because the list of workspaces is empty.
	const store = storeWith(configuration(1, {routes}));
	const server = await addBackend(t, store, {id: 's1'});
	const {call, lines} = await start(t, {store});
	t.is(await statusOf(call('/check/1')), 200);
	store.set(Collection.configurations, 'main', configuration(2, {routes, workspaces: [], needsKeys: true}));
	await waitUntil(() => lines.some(({event, version}) => event === 'configuration' && version === 2));
	t.is(await statusOf(call('/check/1')), 401);
	t.is(await statusOf(call('/check/1', {headers: {'test-key': 'never-issued'}})), 401);
	t.is(server.requests.length, 1);
	t.is(await statusOf(call('/open/1')), 200);
});

test('a configuration without workspaces that needs no keys serves requests without one', async t => {
	const store = storeWith(configuration(1, {routes, workspaces: [], needsKeys: false}));
	await addBackend(t, store, {id: 's1'});
	const {call} = await start(t, {store});
	t.is(await statusOf(call('/check/1', {headers: {'test-key': ''}})), 200);
});
