#pragma once

/// Parsing and validation of a daemon's settings and of an environment's configuration document, and the
/// rules for publishing and adopting documents.
///
/// Parts:
/// - adoption.hpp: which documents a daemon adopts
/// - document_object.hpp: serialized form of a document, exchanged by platform, operators and daemons
/// - document_translator.hpp: interface to documents in the form of another platform
/// - environment_document.hpp: pipelines, services, client accounts and limits of an environment
/// - finding.hpp: one validation error with its location
/// - name.hpp: syntax of names
/// - promotion.hpp: publication, proof and promotion of documents
/// - proof.hpp: record that a document was verified in a trial environment
/// - relay_document_builder.hpp: reads such documents in bounded steps
/// - relay_parts.hpp: reads one route, service, account or limits
/// - relay_document.hpp: routes, services and accounts for relayed requests
/// - settings.hpp: settings of one daemon

#include <rattanbay/config/adoption.hpp>
#include <rattanbay/config/document_object.hpp>
#include <rattanbay/config/document_translator.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/config/finding.hpp>
#include <rattanbay/config/name.hpp>
#include <rattanbay/config/promotion.hpp>
#include <rattanbay/config/proof.hpp>
#include <rattanbay/config/relay_document.hpp>
#include <rattanbay/config/relay_document_builder.hpp>
#include <rattanbay/config/relay_parts.hpp>
#include <rattanbay/config/settings.hpp>
