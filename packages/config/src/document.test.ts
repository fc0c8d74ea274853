import test from 'ava';
import fc from 'fast-check';
import {largeDocument, sampleDocument} from './sample.js';
import {
	addDrain, checkReferences, diffHeads, emptyHead, nextHead, patchHead, baseRevisionOf, canonicalDocument, ChangeKind, diffDocuments, DrainKind, formatConfiguration, generateKey, issueKey,
	joinDocument, parseConfiguration, removeDrain, removeShiftCap, createConflictReport, requireConfiguration, setShiftCap, setWorkspaceRate, splitDocument,
	withdrawKey,
} from './index.js';

const fixedBytes = (count: number): Uint8Array => new Uint8Array(count).fill(7);

// Guards against reference errors without a position, which the operator would have to search for in a long file.
test('reference errors name file, line and path', t => {
	const text = formatConfiguration(sampleDocument()).replace('class: check', 'class: chek');
	const {problems} = parseConfiguration(text, 'addis.yaml');
	const line = text.split('\n').findIndex(entry => entry.includes('chek')) + 1;
	t.deepEqual(problems, [{
		file: 'addis.yaml', line, path: 'services.0.routes.0.class', message: 'class chek does not exist',
	}]);
	const sha256 = 'a'.repeat(64);
	const shared = sampleDocument({keys: [{id: 'a', workspace: 'bole', sha256}, {id: 'b', workspace: 'piassa', sha256}]});
	t.deepEqual([...checkReferences(shared)], [{path: ['keys', 1, 'sha256'], message: 'key b has the same hash as key a'}]);
	const route = shared.services[0].routes[0];
	const ambiguous = sampleDocument({services: [{name: 'booking', routes: [route, route]}]});
	t.deepEqual([...checkReferences(ambiguous)].map(problem => problem.path), [['services', 0, 'routes', 1]]);
	// Entry daemons select the service by method and path, so the second service would receive no requests.
	const twoServices = sampleDocument({services: [{name: 'booking', routes: [route]}, {name: 'catalogue', routes: [route]}]});
	t.deepEqual([...checkReferences(twoServices)], [{path: ['services', 1, 'routes', 0], message: 'GET /availability is already a route of service booking'}]);
	t.throws(() => requireConfiguration('classes: [', 'addis.yaml'), {any: true, message: /^addis\.yaml:1: /});
});

// Guards against formatted YAML that loses or changes a field when it is parsed again.
test('formatted configuration parses to the same document', t => {
	const name = fc.stringMatching(/^[a-z][a-z\d]{0,8}$/);
	fc.assert(fc.property(fc.uniqueArray(name, {maxLength: 6}), fc.double({min: 0.001, max: 1e6, noNaN: true}), fc.nat(1e6), (names, ratePerS, revision) => {
		const document = sampleDocument({
			workspaces: names.map(entry => ({name: entry, ratePerS, burst: 1})),
			drains: names.map(entry => ({kind: DrainKind.vm, name: entry})),
		});
		const text = formatConfiguration(document, revision);
		t.deepEqual(requireConfiguration(text, 'a.yaml'), canonicalDocument(document));
		t.is(baseRevisionOf(text), revision);
	}), {seed: 11, numRuns: 100});
});

// Guards against a diff that misses a changed field or reports a list that was only reordered.
test('diff reports added, removed and changed objects by name', t => {
	const before = sampleDocument();
	const after = sampleDocument({workspaces: [{name: 'mexico', ratePerS: 1, burst: 1}, {name: 'bole', ratePerS: 12, burst: 20}]});
	t.deepEqual(diffDocuments(before, after).map(({kind, name}) => [kind, name]), [
		[ChangeKind.changed, 'bole'], [ChangeKind.added, 'mexico'], [ChangeKind.removed, 'piassa'],
	]);
	t.deepEqual(diffDocuments(before, after)[0].fields, [{field: 'ratePerS', before: 10, after: 12}]);
	t.deepEqual(diffDocuments(before, sampleDocument({workspaces: [...before.workspaces].reverse()})), []);
});

// Guards against a conflict report that omits objects changed by both operators.
test('conflict report names the objects that both operators changed', t => {
	const base = sampleDocument();
	const mine = setWorkspaceRate(base, 'bole', {ratePerS: 11});
	t.deepEqual(createConflictReport(base, mine, setWorkspaceRate(base, 'bole', {ratePerS: 12})).sameObjects, [{list: 'workspaces', name: 'bole'}]);
	t.deepEqual(createConflictReport(base, mine, setWorkspaceRate(base, 'piassa', {ratePerS: 12})).sameObjects, []);
});

// Guards against edits that accept unknown names or return an invalid document.
test('edits change the named object and reject invalid input with a result code', t => {
	const base = sampleDocument();
	const key = {id: 'k1', workspace: 'bole', sha256: generateKey(fixedBytes).sha256};
	const issued = issueKey(base, key);
	t.deepEqual(issued.keys, [key]);
	t.deepEqual(withdrawKey(issued, 'k1').keys, []);
	const drain = {kind: DrainKind.vm, name: 'vm-1'};
	const drained = addDrain(base, drain);
	t.is(addDrain(drained, drain), drained);
	t.deepEqual(removeDrain(drained, drain).drains, []);
	const capped = setShiftCap(base, {service: 'booking', maxPercent: 20, maxPercentPerMinute: 5});
	t.deepEqual(removeShiftCap(capped, 'booking').shiftCaps, []);
	for (const rejectedEdit of [
		() => issueKey(base, {...key, workspace: 'nowhere'}),
		() => withdrawKey(base, 'k1'),
		() => removeDrain(base, drain),
		() => setShiftCap(base, {service: 'nothing', maxPercent: 1, maxPercentPerMinute: 1}),
		() => removeShiftCap(base, 'booking'),
		() => setWorkspaceRate(base, 'nowhere', {ratePerS: 1}),
	]) {
		t.like(t.throws(rejectedEdit, {any: true}), {code: 4005});
	}

	t.like(t.throws(() => issueKey(issued, key), {any: true}), {code: 4000});
	t.like(t.throws(() => setWorkspaceRate(base, 'bole', {ratePerS: -1}), {any: true}), {code: 4000});
});

// Guards against keys that are too short or contain characters not allowed in a header.
test('keys encode 256 random bits as URL-safe text', t => {
	const {key} = generateKey(count => {
		t.is(count, 32);
		return fixedBytes(count);
	});
	t.regex(key, /^fwk_[\w-]{43}$/);
});

// Guards against parts that exceed the store's size limit, and against a small change that rewrites much of the document.
test('a change of one key in a large document writes one small part', t => {
	const document = largeDocument(4000);
	const first = splitDocument(document);
	const sizes = [...first.contents.values()].map(content => content.length);
	t.true(Math.max(...sizes) < 1024 * 1024);
	const second = splitDocument(withdrawKey(document, 'key-77'));
	const written = [...second.contents].filter(([hash]) => !first.contents.has(hash));
	t.true(written.length <= 2);
	t.true(written.every(([, content]) => content.length < 20_000));
});

// Guards against entries lost or duplicated at part boundaries, and against a split that depends on the order of entries.
test('splitting and joining preserves every entry, whatever the order', t => {
	fc.assert(fc.property(fc.nat(400), count => {
		const document = largeDocument(count);
		const {parts, contents} = splitDocument(document);
		const joined = joinDocument(Object.fromEntries(Object.entries(parts).map(([name, hash]) => [name, contents.get(hash)!])));
		t.deepEqual(canonicalDocument(joined), canonicalDocument(document));
		if (count > 64) {
			t.deepEqual(splitDocument({...document, keys: [...document.keys].reverse()}).parts, parts);
		}
	}), {seed: 12, numRuns: 30});
});

// Guards against a relayed delta that leaves a node with parts that differ from those in the store.
test('applying a head delta gives the same head, and the delta of a small change is small', t => {
	const document = largeDocument(4000);
	const before = nextHead(emptyHead, splitDocument(document).parts, {changeId: 'a', author: 'abeba', summary: 'first'});
	const split = splitDocument({...document, keys: document.keys.slice(0, 30)});
	const after = nextHead(before, split.parts, {changeId: 'b', author: 'abeba', summary: 'fewer keys'});
	t.deepEqual(patchHead(before, diffHeads(before, after)), after);
	t.is(patchHead(after, diffHeads(before, after)), undefined);
	const small = nextHead(before, splitDocument(withdrawKey(document, 'key-1')).parts, {changeId: 'c', author: 'abeba', summary: 'withdraw key-1'});
	t.true(JSON.stringify(diffHeads(before, small)).length < 1000);
});
