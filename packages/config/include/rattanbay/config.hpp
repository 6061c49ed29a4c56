#pragma once

/// Settings of one process and the document of one environment, both checked whole, and the rules
/// by which documents are published and adopted.
///
/// Parts:
/// - adoption.hpp: which documents a daemon adopts
/// - document_object.hpp: a document as it travels between platform, operators and daemons
/// - environment_document.hpp: pipelines, services, client accounts and limits of an environment
/// - finding.hpp: one error found by a check, with its place
/// - name.hpp: form of names
/// - promotion.hpp: publication, proof and promotion of documents
/// - proof.hpp: record that a document was in force in trial
/// - relay_document.hpp: routes, services and accounts of requests that are relayed unchanged
/// - settings.hpp: settings of one daemon

#include <rattanbay/config/adoption.hpp>
#include <rattanbay/config/document_object.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/config/finding.hpp>
#include <rattanbay/config/name.hpp>
#include <rattanbay/config/promotion.hpp>
#include <rattanbay/config/proof.hpp>
#include <rattanbay/config/relay_document.hpp>
#include <rattanbay/config/settings.hpp>
