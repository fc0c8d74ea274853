import {readFileSync} from 'node:fs';
import {LineCounter, parseDocument, type Document} from 'yaml';
import {type z} from 'zod';
import {FescuewickError} from './errors.js';
import {ResultCode} from './result-codes.js';

/** One problem in a YAML file. */
export type YamlProblem = {
	readonly file: string;
	readonly line: number;
	readonly path: string;
	readonly message: string;
};

/** Result of reading YAML against a schema. */
export type YamlResult<Value> = {readonly value: Value; readonly problems: readonly YamlProblem[]} | {readonly value: undefined; readonly problems: readonly YamlProblem[]};

/** A check that a schema cannot express, for example of references; yields the path and message of each problem. */
export type YamlCheck<Value> = (value: Value) => Iterable<{readonly path: readonly PropertyKey[]; readonly message: string}>;

/** Parses YAML text and checks it against a schema and, if given, a further check; problems name file, line and path. */
export function parseYaml<Schema extends z.ZodType>(text: string, file: string, schema: Schema, check?: YamlCheck<z.output<Schema>>): YamlResult<z.output<Schema>> {
	const lineCounter = new LineCounter();
	const document = parseDocument(text, {lineCounter, uniqueKeys: true});
	if (document.errors.length > 0) {
		return {
			value: undefined,
			problems: document.errors.map(error => ({
				file, line: lineCounter.linePos(error.pos[0]).line, path: '', message: error.message.split('\n')[0],
			})),
		};
	}

	const parsed = schema.safeParse(document.toJS());
	const issues = parsed.success
		? [...check?.(parsed.data) ?? []]
		: parsed.error.issues.map(issue => ({
			path: issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0]] : issue.path,
			message: issue.message,
		}));
	const problems = issues.map(({path, message}) => ({
		file, line: lineOf(document, lineCounter, path), path: path.map(String).join('.'), message,
	}));
	return parsed.success && problems.length === 0 ? {value: parsed.data, problems} : {value: undefined, problems};
}

/** Formats a problem as `file:line: path: message`. */
export function formatProblem(problem: YamlProblem): string {
	return `${problem.file}:${problem.line}: ${problem.path === '' ? '' : `${problem.path}: `}${problem.message}`;
}

/** Reads the settings of a process from a YAML file; throws `settingsInvalid` with all problems. */
export function readSettings<Schema extends z.ZodType>(file: string, schema: Schema): z.output<Schema> {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		throw new FescuewickError(ResultCode.settingsInvalid, `cannot read settings file ${file}`, {cause: error});
	}

	const result = parseYaml(text, file, schema);
	if (result.value === undefined) {
		throw new FescuewickError(ResultCode.settingsInvalid, result.problems.map(problem => formatProblem(problem)).join('\n'));
	}

	return result.value;
}

function lineOf(document: Document, lineCounter: LineCounter, path: readonly PropertyKey[]): number {
	for (let depth = path.length; depth >= 0; depth--) {
		const node = depth === 0 ? document.contents : document.getIn(path.slice(0, depth), true);
		const range = (node as {range?: [number, number, number]} | undefined)?.range;
		if (range) {
			return lineCounter.linePos(range[0]).line;
		}
	}

	return 1;
}
