import {readFileSync} from 'node:fs';
import {
	FescuewickError, formatProblem, parseYaml, ResultCode, type YamlResult,
} from '@fescuewick/core';
import {checkReferences, documentSchema, type ConfigurationDocument} from './document.js';

/** Parses and validates a configuration in YAML; each problem, including those found by `checkReferences`, has its file, line and path. */
export function parseConfiguration(text: string, file: string): YamlResult<ConfigurationDocument> {
	try {
		return parseYaml(text, file, documentSchema, checkReferences);
	} catch (error) {
		// The parser throws on documents with unbounded alias expansion.
		return {
			value: undefined,
			problems: [{
				file, line: 1, path: '', message: error instanceof Error ? error.message : String(error),
			}],
		};
	}
}

/** Like `parseConfiguration`, but throws `configurationInvalid` with one problem per line. */
export function requireConfiguration(text: string, file: string): ConfigurationDocument {
	const {value, problems} = parseConfiguration(text, file);
	if (value === undefined) {
		throw new FescuewickError(ResultCode.configurationInvalid, problems.map(problem => formatProblem(problem)).join('\n'));
	}

	return value;
}

/** Reads and parses a configuration file; throws `configurationUnreadable` or `configurationInvalid`. */
export function readConfigurationFile(file: string): {text: string; document: ConfigurationDocument} {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		throw new FescuewickError(ResultCode.configurationUnreadable, `cannot read configuration file ${file}`, {cause: error});
	}

	return {text, document: requireConfiguration(text, file)};
}
