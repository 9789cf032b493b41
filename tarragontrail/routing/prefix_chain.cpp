#include "tarragontrail/routing/prefix_chain.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>

namespace tarragontrail::routing {

void prefix_chain::assign(const prefix_identity& identity, std::string_view prompt)
{
    m_root = root_of(identity);
    m_hashes.clear();
    const std::size_t pieces = std::min(prompt.size() / piece_bytes, max_pieces);
    std::uint64_t hash = m_root;
    for (std::size_t piece = 0; piece < pieces; ++piece)
    {
        hash = core::hash_pair(hash,
                               core::hash_bytes(prompt.substr(piece * piece_bytes, piece_bytes)));
        m_hashes.push_back(hash);
    }
}

} // namespace tarragontrail::routing
