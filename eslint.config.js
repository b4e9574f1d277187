import {createRequire} from 'node:module';
import jsdoc from 'eslint-plugin-jsdoc';

const gts = createRequire(import.meta.url)('gts');

export default [
  {ignores: ['dist/**', 'node_modules/**', 'target/**', 'journal/**']},
  ...gts,
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    plugins: {jsdoc},
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: {
            ClassDeclaration: true,
            FunctionDeclaration: true,
            MethodDefinition: false,
          },
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration'],
        },
      ],
      'max-lines': ['error', {max: 400}],
    },
  },
  // Only the command that starts a gateway host may know the users' platform.
  ...[
    ['src/*.ts', '../platform/*'],
    ['src/*/*.ts', '../../platform/*'],
    ['src/*/*/*.ts', '../../../platform/*'],
  ].map(([files, group]) => ({
    files: [files],
    ignores: ['src/commands/gateway.ts'],
    rules: {'no-restricted-imports': ['error', {patterns: [{group: [group]}]}]},
  })),
  {
    files: ['**/*.ts'],
    rules: {
      // TypeScript resolves imports; the plugin looks for files that exist only after the build.
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      'require-yield': 'off',
      // node:test reports a failed test itself; the returned promise need not be awaited.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              package: 'node:test',
              name: ['test', 'describe', 'it'],
            },
          ],
        },
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
    },
  },
  {
    files: ['eslint.config.js', 'scripts/*.js', 'examples/**/*.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {process: 'readonly', console: 'readonly'},
    },
    rules: {'n/no-unpublished-import': 'off', 'n/no-extraneous-import': 'off'},
  },
  {
    files: ['scripts/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: {
        process: 'readonly',
        require: 'readonly',
        module: 'readonly',
        exports: 'readonly',
        __dirname: 'readonly',
      },
    },
  },
];
